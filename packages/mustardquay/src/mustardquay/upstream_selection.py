"""Upstream selection: which upstream gets an attempt.

The selection minimises the predicted time to the first token plus a cost for its effect
on other work: queued work, uncached prompt, availability zone, adapter, and how well
the engine's role fits the work. A small number of upstreams is evaluated completely; of
a large number, only the rendezvous choice of the prefix (Thaler and Ravishankar, 1998),
engines known to have the prefix cached and some random ones (the power of two choices;
Mitzenmacher, 2001), so that the cost doesn't grow with the number of upstreams.
"""

from collections.abc import Collection, Iterable, Sequence
from datetime import timedelta
from random import Random

from xxhash import xxh64_intdigest

from .caches import PrefixIndex
from .errors import Reason, Refusal
from .predictions import estimate_queued_tokens
from .works import Role, UpstreamView, Work

__all__ = ["choose_upstream", "predict_first_token"]

RETRY_AFTER = timedelta(seconds=1)
MAX_EVALUATED = 8
RANDOM_CANDIDATES = 4
MAX_RANDOM_DRAWS = 16
ZONE_COST_SECONDS = 0.001
UNFIT_COST_SECONDS = 60.0
SHORT_ANSWER = 8
"""Output tokens up to which the cost of an answer is practically only its prefill."""


def choose_upstream(
    work: Work,
    views: Sequence[UpstreamView],
    now: timedelta,
    random: Random,
    avoid: Collection[str] = (),
    availability_zone: str = "",
    index: PrefixIndex | None = None,
) -> UpstreamView | Refusal:
    """Return the upstream with the lowest predicted cost that may run this work."""
    if len(views) > MAX_EVALUATED:
        sample = list(_sample_views(work, views, random, avoid, index))
        usable = sample or [view for view in views if _can_run(work, view, avoid)]
    else:
        usable = [view for view in views if _can_run(work, view, avoid)]
    if not usable:
        return Refusal(
            Reason.NO_UPSTREAM,
            f"No upstream for {work.model} takes work now; ask again later.",
            RETRY_AFTER,
        )
    start = random.randrange(len(usable))
    best, lowest = usable[start], float("inf")
    for position in range(len(usable)):
        view = usable[start - position]
        cost = _estimate_cost(work, view, now, availability_zone, index)
        if cost < lowest:
            best, lowest = view, cost
    return best


def predict_first_token(
    work: Work, view: UpstreamView, now: timedelta, index: PrefixIndex | None = None
) -> float:
    """Return the predicted seconds to the first token at this upstream."""
    rate = view.prefill_rate / view.slowness
    cached = index.expected_tokens(view.name, work.prefix) if index else 0
    uncached = max(work.prompt_tokens - cached, 1)
    seconds = (estimate_queued_tokens(view, now, not work.over_share) + uncached) / rate
    busy = max(view.running, view.own_running)
    if busy >= view.concurrency and work.over_share:
        # All slots are in use: the work waits until some streams end.
        seconds += (busy - view.concurrency + 1) / view.concurrency
    return seconds


def _estimate_cost(
    work: Work,
    view: UpstreamView,
    now: timedelta,
    availability_zone: str,
    index: PrefixIndex | None,
) -> float:
    cost = predict_first_token(work, view, now, index)
    cost += _estimate_role_cost(work, view)
    if availability_zone and view.availability_zone != availability_zone:
        cost += ZONE_COST_SECONDS
    return cost


def _estimate_role_cost(work: Work, view: UpstreamView) -> float:
    """Return a cost in seconds for running the work in the upstream's role."""
    if work.output_tokens > SHORT_ANSWER and _is_too_slow(work, view):
        return UNFIT_COST_SECONDS
    busy = max(view.running, view.own_running) / view.concurrency
    if view.role is not Role.PREFILL and work.output_tokens <= SHORT_ANSWER:
        weight = 1.0 if view.role is Role.DECODE else 0.0
        return (weight + busy) * work.prompt_tokens / view.prefill_rate
    return busy


def _is_too_slow(work: Work, view: UpstreamView) -> bool:
    """Return whether the time between a stream's tokens would be too long.

    Prefill engines generate tokens of a stream only between whole prompts. The reported
    decode rate excludes concurrent prefill, so the observed slowness of the engine is
    applied to it as well.
    """
    gap = view.slowness / max(view.decode_rate, 0.1)
    return view.role is Role.PREFILL or gap >= work.between_tokens.total_seconds()


def _sample_views(
    work: Work,
    views: Sequence[UpstreamView],
    random: Random,
    avoid: Collection[str],
    index: PrefixIndex | None,
) -> Iterable[UpstreamView]:
    cached_on = set(index.holders(work.prefix)) if index and work.prefix else set()
    seen: set[str] = set()
    chosen = 0
    if work.prefix:
        for view in _choose_by_prefix(work, views):
            seen.add(view.name)
            if _can_run(work, view, avoid):
                yield view
    if cached_on:
        for view in views:
            if view.name in cached_on and view.name not in seen:
                seen.add(view.name)
                if _can_run(work, view, avoid):
                    yield view
    for _ in range(MAX_RANDOM_DRAWS):
        view = views[random.randrange(len(views))]
        if view.name not in seen and _can_run(work, view, avoid):
            seen.add(view.name)
            chosen += 1
            yield view
        if chosen >= RANDOM_CANDIDATES:
            return


def _choose_by_prefix(work: Work, views: Sequence[UpstreamView]) -> list[UpstreamView]:
    """Return the rendezvous choice for the prompt's first piece."""
    piece = work.prefix[0] & 0xFFFF_FFFF_FFFF_FFFF
    return [
        max(views, key=lambda view: xxh64_intdigest(view.name.encode(), seed=piece))
    ]


def _can_run(work: Work, view: UpstreamView, avoid: Collection[str]) -> bool:
    if view.name in avoid or not view.reachable or view.draining or not view.ready:
        return False
    if work.model not in view.models:
        return False
    return not work.adapter or work.adapter in view.adapters
