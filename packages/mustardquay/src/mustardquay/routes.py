"""Routes: which upstream gets an attempt."""

from collections.abc import Collection, Sequence
from datetime import timedelta
from random import Random

from .errors import Reason, Refusal
from .works import UpstreamView, Work

__all__ = ["choose_upstream"]

RETRY_AFTER = timedelta(seconds=1)


def choose_upstream(
    work: Work,
    views: Sequence[UpstreamView],
    now: timedelta,
    random: Random,
    avoid: Collection[str] = (),
    availability_zone: str = "",
) -> UpstreamView | Refusal:
    """Return the upstream with the least work ahead that may run this work."""
    usable = [view for view in views if _can_run(work, view, avoid)]
    if not usable:
        return Refusal(
            Reason.NO_UPSTREAM,
            f"No upstream for {work.model} takes work now; ask again later.",
            RETRY_AFTER,
        )
    random.shuffle(usable)
    return min(usable, key=_count_work_ahead)


def _can_run(work: Work, view: UpstreamView, avoid: Collection[str]) -> bool:
    if view.name in avoid or not view.reachable or view.draining or not view.ready:
        return False
    if work.model not in view.models:
        return False
    return not work.adapter or work.adapter in view.adapters


def _count_work_ahead(view: UpstreamView) -> int:
    return view.queued_tokens + view.own_tokens + view.running + view.own_running
