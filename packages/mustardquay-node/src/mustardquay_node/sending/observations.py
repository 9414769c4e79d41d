"""What a send shows of its upstream: its load, limits, crashes and statements."""

import asyncio

from mustardquay.requests import SendResult

from ..adapters import AnswerFacts
from ..connections import ExchangeEnd
from ..crash_suspects import Blame
from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from .results import Send, SendOptions

__all__ = ["SUCCESS_STATUSES", "observe_end", "observe_head", "observe_replaced"]

SUCCESS_STATUSES = range(200, 300)
UNCONNECTED_ENDS = (ExchangeEnd.NOT_CONNECTED, ExchangeEnd.CONNECT_TIMED_OUT)
MIN_SERVER_ERROR_STATUS = 500
"""The lowest status of a server error."""


def observe_head(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    send: Send,
    facts: AnswerFacts,
    status: int,
) -> None:
    """Record what the head of an answer says of its upstream."""
    if facts.is_other_upstream:
        return
    _observe_limit(deps, request, send, facts)
    deps.note_statements(send.upstream, facts, request.id)
    if not request.route.has_prompt and status in SUCCESS_STATUSES:
        now = deps.clock.monotonic()
        # The answer shows the speed of its upstream, without the time in its queue.
        seconds = (now - request.sent_at).total_seconds() / (1.0 + send.expected_wait)
        service = send.upstream.service
        deps.loads.capacities.note_answer(send.upstream.id, seconds, now, service)


def observe_end(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    send: Send,
    end: str,
    options: SendOptions,
) -> None:
    """Record what the end of a send shows; `end` is an `ExchangeEnd`."""
    send.blame = _observe_crash(deps, request, send, end, options)
    _observe_load(deps, request, send, end, options)


def observe_replaced(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    send: Send,
    options: SendOptions,
) -> None:
    """Record what a silence shows of a crash, before the request goes elsewhere."""
    _watch_send(deps, request, send, options)
    deps.crashes.settle_send(send.upstream.id, request.sent_at)


def _watch_send(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    send: Send,
    options: SendOptions,
    probe: "asyncio.Task[None] | None" = None,
) -> None:
    """Note a send that is blamed if its upstream is soon found lost."""
    upstream = send.upstream
    deps.crashes.note_broken_send(
        upstream, request.fingerprint, probe, request.text, request.sent_at
    )
    if not options.prefill_only and not send.has_outlasted_onset:
        deps.crashes.parts.note_broken_send(
            upstream, request.parts, probe, request.sent_at
        )


def _observe_limit(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    send: Send,
    facts: AnswerFacts,
) -> None:
    """Apply the rate limit in an answer's headers, or its removal."""
    id = send.upstream.id
    change = deps.limits.update(id, facts.rate_limit, deps.clock.monotonic())
    if change is not None:
        deps.events.record(
            "upstream.limited",
            request=request.id,
            upstream=id,
            before=change.before,
            per_second=change.after,
        )


def _observe_crash(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    send: Send,
    end: str,
    options: SendOptions,
) -> Blame:
    """Record what the end of a send shows of a crash of its upstream."""
    blame = _find_blame(send, options)
    upstream = send.upstream
    if blame is Blame.ENDED_HERE:
        deps.crashes.note_ended_send(
            upstream, request.fingerprint, request.text, request.sent_at
        )
    elif blame is Blame.WATCHED:
        # A probe of a silent upstream that times out says nothing of a crash.
        probe = deps.pools.probe(upstream) if send.was_lost else None
        _watch_send(deps, request, send, options, probe)
    if blame in (Blame.WATCHED, Blame.ENDED_HERE):
        deps.crashes.settle_send(upstream.id, request.sent_at)
    elif blame is Blame.CLEARED:
        deps.crashes.note_answer(request.fingerprint, request.id, upstream.id)
        deps.crashes.parts.note_answered(request.parts, upstream, request.sent_at)
    if end == ExchangeEnd.NOT_CONNECTED:
        deps.crashes.note_upstream_lost(upstream.id)
    if end in UNCONNECTED_ENDS:
        deps.doubts.note_unreachable(upstream)
    return blame


def _find_blame(send: Send, options: SendOptions) -> Blame:
    if not send.was_sent:
        return Blame.NONE
    if send.was_lost or send.given_up is not None:
        return Blame.WATCHED
    if _has_run_whole(send, options):
        return Blame.CLEARED
    return Blame.ENDED_HERE if send.was_ended_here else Blame.NONE


def _observe_load(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    send: Send,
    end: str,
    options: SendOptions,
) -> None:
    now = deps.clock.monotonic()
    loads = deps.loads
    id = send.upstream.id
    if end == ExchangeEnd.NOT_CONNECTED:
        loads.note_unreachable(id, now)
    elif end == ExchangeEnd.CONNECT_TIMED_OUT:
        loads.note_timed_out(id, now)
    elif send.end is SendResult.ANSWERED:
        loads.note_reached(id, now)
    elif send.end in (SendResult.NOT_RUN, SendResult.OTHER_UPSTREAM):
        # A failed fetch of a prefill is not a fault of the engine that fetches.
        if not options.kv_source:
            loads.note_refusal(id, now)
    if loads.end(id, _has_failed(send, end), now):
        deps.events.record(
            "upstream.ejected",
            request=request.id,
            upstream=id,
            failure_rate=round(loads.get(id).failure_rate, 2),
        )
    load = send.facts.load if send.facts is not None else None
    if load is not None and None not in (load.running, load.waiting, load.slots):
        loads.note_report(id, load.running, load.waiting, now)


def _has_run_whole(send: Send, options: SendOptions) -> bool:
    """Return whether an upstream has certainly run the request to its end.

    Neither a prefill shows that, as it ends before the request begins to run, nor an
    error, which an upstream may answer without running it.
    """
    is_success = send.status in SUCCESS_STATUSES
    return send.end is SendResult.ANSWERED and is_success and not options.prefill_only


def _has_failed(send: Send, end: str) -> bool | None:
    """Return whether a send shows a fault of its upstream; None if it shows nothing."""
    if end == ExchangeEnd.CONNECT_TIMED_OUT:
        return None
    if send.was_ended_here and send.was_silent:
        return None
    if end == ExchangeEnd.NOT_CONNECTED or send.end is SendResult.BROKEN:
        return True
    return send.end is SendResult.ANSWERED and send.status >= MIN_SERVER_ERROR_STATUS
