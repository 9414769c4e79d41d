"""Which new connections a gateway takes, and which it leaves to other gateways."""

from .free_peers import FreePeers
from .gates import MAX_REFUSED_SHARE, ConnectionGate
from .loop_lags import MAX_LAG, NOTICEABLE_LAG, LoopLag
from .refusal_shares import RefusalShare

__all__ = [
    "MAX_LAG",
    "MAX_REFUSED_SHARE",
    "NOTICEABLE_LAG",
    "ConnectionGate",
    "FreePeers",
    "LoopLag",
    "RefusalShare",
]
