"""Fair shares: who is served first when a service can't serve all on time.

Handles a service that receives more requests than it can serve on time, from
organisations of very different size, through gateways each of which sees only a part of
them.
"""

from .admissions import FairAdmission, Judgement
from .fleet_uses import FleetUses, Standing
from .plain_queues import (
    PlainExpectation,
    PlainQueues,
    PlainVerdict,
    judge_plain,
    limit_in_flight,
)
from .return_positions import ReturnPositions
from .tightened_placements import tighten
from .uses import OrganisationUse, UseMeter, fold_uses
from .wait_bounds import RankTracker, find_wait_factor
from .water_levels import FairLevel, find_level

__all__ = [
    "FairAdmission",
    "FairLevel",
    "FleetUses",
    "Judgement",
    "OrganisationUse",
    "PlainExpectation",
    "PlainQueues",
    "PlainVerdict",
    "RankTracker",
    "ReturnPositions",
    "Standing",
    "UseMeter",
    "find_level",
    "find_wait_factor",
    "fold_uses",
    "judge_plain",
    "limit_in_flight",
    "tighten",
]
