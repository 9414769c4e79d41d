"""Admission by shares: whether a request is sent to a service that may be overloaded.

The decisions are those of `mustardquay.fair_shares`. Without the setting
`organisation_shares`, or organisations in the configuration, nothing is decided here.
"""

from collections.abc import Sequence
from datetime import timedelta

from mustardquay.fair_shares import (
    Judgement,
    PlainExpectation,
    PlainVerdict,
    judge_plain,
    tighten,
)
from mustardquay.generation_limits import is_retry
from mustardquay.placements import Placement
from mustardquay.requests import SendResult
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_loads import choose_plain

from .forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from .replies import Reply
from .sending import Send, Sender
from .service_shares import ServiceShares

__all__ = [
    "admit_plain",
    "limit_generation",
    "note_generation",
    "refuse_generation",
    "send_plain",
]

MAX_COMPARED = 32
"""Upstreams among which the one with the shortest wait is searched, which bounds the
time of a refusal: if none of them has a free slot, few of all have one."""


def admit_plain(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    reply: Reply,
    upstream: UpstreamRecord,
    candidates: Sequence[UpstreamRecord],
) -> UpstreamRecord | None:
    """Return the upstream that a plain request is sent to; None if it was refused.

    If there is no room at the one that was chosen as usual, that with the shortest
    expected wait is tried, so that none is refused while another one has free slots.
    """
    shares = _find_shares(deps, request)
    if shares is None or request.send_history.sends or request.is_replacement:
        return upstream
    shares.expire_peers()
    expected = shares.expect(upstream)
    judgement = _judge(deps, shares, request, expected.work)
    verdict = _judge_plain(deps, shares, request, judgement, expected, candidates)
    if not verdict.is_admitted:
        upstream = _choose_shortest(deps, shares, request, candidates) or upstream
        expected = shares.expect(upstream)
        verdict = _judge_plain(deps, shares, request, judgement, expected, candidates)
    if verdict.is_admitted:
        _note_admitted(deps, shares, request, expected.work)
        return upstream
    _refuse(deps, shares, request, reply, judgement, verdict.value, expected.wait)
    return None


async def send_plain(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    sender: Sender,
    upstream: UpstreamRecord,
) -> Send:
    """Send a plain request; count it for as long as it is at its upstream."""
    shares = _find_shares(deps, request)
    if shares is None:
        return await sender.run(upstream)
    counted = shares.begin(upstream)
    is_answered = False
    try:
        send = await sender.run(upstream)
        is_answered = send.end is SendResult.ANSWERED and send.status < 400
        return send
    finally:
        shares.end(counted, is_answered)


def limit_generation(
    deps: ForwarderDependencies, request: ForwardedRequest, placement: Placement
) -> Placement:
    """Return a placement as busy as it counts for this request's organisation."""
    shares = _find_shares(deps, request)
    if shares is None or request.is_take_up:
        return placement
    if request.judgement is None:
        request.judgement = _judge(deps, shares, request, _sum_work(placement))
    return tighten(placement, request.judgement.factor)


def note_generation(
    deps: ForwarderDependencies, request: ForwardedRequest, placement: Placement
) -> None:
    """Count a generation that was admitted."""
    shares = _find_shares(deps, request)
    if shares is not None:
        _note_admitted(deps, shares, request, _sum_work(placement))


def refuse_generation(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    reply: Reply,
    placement: Placement,
    **inputs: float,
) -> bool:
    """Refuse a generation that its share limits; returns whether it was refused."""
    if deps.shares is None or request.judgement is None:
        return False
    wait = placement.delay_seconds
    reason = PlainVerdict.NO_ROOM.value
    _refuse(
        deps, deps.shares, request, reply, request.judgement, reason, wait, **inputs
    )
    return True


def _find_shares(
    deps: ForwarderDependencies, request: ForwardedRequest
) -> ServiceShares | None:
    """Return the shares, None if the configuration has no organisations."""
    return None if request.organisation is None else deps.shares


def _judge(
    deps: ForwarderDependencies,
    shares: ServiceShares,
    request: ForwardedRequest,
    work: float,
) -> Judgement:
    """Return how a request is limited; count its work if its caller is new."""
    now = deps.clock.monotonic()
    organisation = request.organisation or ""
    is_return = is_retry(request.route, request.measure_time_left(now))
    rank = request.route.priority
    judgement = shares.admission.judge(
        request.service, organisation, rank, is_return, now
    )
    if not is_return:
        shares.admission.note_demand(request.service, organisation, work, now)
    return judgement


def _judge_plain(
    deps: ForwarderDependencies,
    shares: ServiceShares,
    request: ForwardedRequest,
    judgement: Judgement,
    expected: PlainExpectation,
    candidates: Sequence[UpstreamRecord],
) -> PlainVerdict:
    now = deps.clock.monotonic()
    left = request.measure_time_left(now)
    elapsed = now - request.incoming.received_at
    if is_retry(request.route, left):
        elapsed = max(request.route.timeout - left, elapsed)
    return judge_plain(
        expected,
        request.route.latency_target,
        elapsed,
        left,
        judgement.factor,
        shares.is_within_part(request.route, expected, judgement, candidates),
    )


def _choose_shortest(
    deps: ForwarderDependencies,
    shares: ServiceShares,
    request: ForwardedRequest,
    candidates: Sequence[UpstreamRecord],
) -> UpstreamRecord | None:
    now = deps.clock.monotonic()
    if len(candidates) > MAX_COMPARED:
        candidates = deps.random.sample(candidates, MAX_COMPARED)

    def expect_wait(record: UpstreamRecord) -> float:
        return deps.limits.predict_wait(record, now) + shares.expect(record).wait

    return choose_plain(
        candidates,
        deps.loads,
        now,
        deps.availability_zone,
        deps.random,
        request.avoid,
        expect_wait,
    )


def _note_admitted(
    deps: ForwarderDependencies,
    shares: ServiceShares,
    request: ForwardedRequest,
    work: float,
) -> None:
    shares.admission.note_admitted(
        request.service,
        request.organisation or "",
        request.route.priority,
        work,
        deps.clock.monotonic(),
    )


def _refuse(
    deps: ForwarderDependencies,
    shares: ServiceShares,
    request: ForwardedRequest,
    reply: Reply,
    judgement: Judgement,
    reason: str,
    wait: float,
    **inputs: float,
) -> None:
    now = deps.clock.monotonic()
    if reason == PlainVerdict.NO_ROOM and judgement.standing.is_over:
        reason = "over_share"
    retry_after = shares.admission.take_position(
        request.service,
        request.route.priority,
        timedelta(seconds=wait / 2),
        request.measure_time_left(now),
        now,
    )
    deps.count_refusal(request.route.name, reason)
    fields = {"wait_ms": round(wait * 1000, 1), **judgement.describe(), **inputs}
    reply.refuse(reason, retry_after, **fields)


def _sum_work(placement: Placement) -> float:
    """Return the seconds of engine time that a generation is expected to take."""
    slots = max(placement.decoder.slots, 1)
    return placement.prefill_seconds + placement.stream_seconds / slots
