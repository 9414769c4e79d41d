"""Disaggregated generations: one engine prefills a prompt, another one decodes."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial

from mustardquay.errors import ProtocolError
from mustardquay.generation_limits import (
    admits_generation,
    admits_late,
    admits_rate_limit_wait,
    admits_take_up,
    draw_retry_delay,
    is_retry,
    rank_generation,
)
from mustardquay.placements import Placement
from mustardquay.requests import PromptTraits, SendResult
from mustardquay.retained_prefills import PrefillLoss
from mustardquay.routing_tables import Route
from mustardquay.stall_timeouts import find_first_event_timeout, find_prefill_timeout
from mustardquay.upstream_lists import UpstreamRecord

from .adapters import Prefilled
from .forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from .rate_reservations import await_reservation
from .replies import Reply
from .sending import Send, Sender, SendOptions
from .share_admissions import limit_generation, note_generation, refuse_generation
from .tickets import RetainedPrefill, Ticket

__all__ = ["drop_prefill", "send_generation"]

HANDLE_KEPT_ENDS = (SendResult.NOT_RUN, SendResult.NOT_SENT, SendResult.OTHER_UPSTREAM)
"""Results of a send to the decoding engine after which the handle of the prefill is
presumably still valid."""


async def send_generation(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    sender: Sender,
    reply: Reply,
    prompt: PromptTraits,
    engines: list[UpstreamRecord],
) -> Send | None:
    """Place a generation and send it; None without an engine or if it was refused."""
    planner = deps.planner
    prefill = request.prefill
    if prefill is not None and _reassign_prefill(deps, request, prefill, engines):
        try:
            return await _hand_over(deps, request, sender, prefill)
        finally:
            planner.end(prefill.ticket)
    if request.send_history.sends or request.is_replacement:
        placement = _choose_placement(deps, request, prompt, engines)
        if placement is not None and not admits_rate_limit_wait(
            request.route, placement
        ):
            return None
    else:
        placement = _admit(deps, request, reply, prompt, engines)
        if placement is not None:
            note_generation(deps, request, placement)
    if placement is None:
        return None
    size = len(request.incoming.body)
    is_late = request.is_late and placement.prefiller is not None
    rank = rank_generation(request.route, is_late)
    ticket = planner.begin(prompt, placement, size, rank)
    try:
        if placement.prefiller is None:
            return await _generate_on_one_engine(deps, request, sender, ticket)
        outcome = await _prefill(deps, request, sender, ticket)
        if isinstance(outcome, Send):
            planner.end_prefill(ticket)
            return outcome
        engines = deps.list_candidates(request)
        request.prefill = RetainedPrefill(ticket, outcome)
        if not planner.reselect_decoder(ticket, engines, request.avoid):
            drop_prefill(deps, request, PrefillLoss.NO_GENERATOR)
            return None
        planner.end_prefill(ticket, is_handed_over=True)
        return await _hand_over(deps, request, sender, request.prefill)
    finally:
        planner.end(ticket)


def _reassign_prefill(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    prefill: RetainedPrefill,
    engines: list[UpstreamRecord],
) -> bool:
    """Choose another engine to decode a kept prefill; drop it if there is none."""
    loss = deps.planner.reassign_decoder(prefill, engines, request.avoid)
    if loss is not None:
        if loss is PrefillLoss.READER_SILENT:
            request.avoid.add(prefill.ticket.placement.reader.id)
        drop_prefill(deps, request, loss)
        return False
    placement = prefill.ticket.placement
    deps.events.record(
        "reading.kept",
        request=request.id,
        upstream=placement.reader.id,
        decoder=placement.decoder.id,
        copied=prefill.is_handle_used,
    )
    return True


def drop_prefill(
    deps: ForwarderDependencies, request: ForwardedRequest, reason: str
) -> None:
    """Discard a request's prefill, and log it if nothing was generated from it."""
    prefill, request.prefill = request.prefill, None
    if prefill is None or prefill.is_used:
        return
    placement = prefill.ticket.placement
    deps.count_unused_prefill(reason)
    deps.events.record(
        "reading.unused",
        request=request.id,
        upstream=placement.reader.id,
        decoder=placement.decoder.id,
        reason=reason,
        new_tokens=placement.prefill.new,
    )


def _admit(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    reply: Reply,
    prompt: PromptTraits,
    engines: list[UpstreamRecord],
) -> Placement | None:
    """Place a new generation; refuse it if its answer would come too late.

    Retries of refused callers get a lower rank than requests that can still be answered
    in time.
    """
    now = deps.clock.monotonic()
    time_left = request.measure_time_left(now)
    if request.is_take_up:
        return _admit_if(admits_take_up, deps, request, reply, prompt, engines)
    request.is_late = is_retry(request.route, time_left)
    if not request.is_late:
        placement = _choose_placement(deps, request, prompt, engines)
        if placement is None:
            return None
        margin = deps.latency_margins.find_margin(request.route, now)
        limited = limit_generation(deps, request, placement)
        if admits_generation(request.route, limited, time_left, margin):
            request.expected = timedelta(seconds=placement.expected_seconds)
            return placement
        # A refused caller's retry can't meet the latency target either.
        request.is_late = True
    return _admit_if(admits_late, deps, request, reply, prompt, engines)


def _admit_if(
    admits: Callable[[Route, Placement, timedelta], bool],
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    reply: Reply,
    prompt: PromptTraits,
    engines: list[UpstreamRecord],
) -> Placement | None:
    """Place a generation; refuse it if `admits` does not let it begin so late."""
    placement = _choose_placement(deps, request, prompt, engines)
    if placement is None:
        return None
    time_left = request.measure_time_left(deps.clock.monotonic())
    limited = limit_generation(deps, request, placement)
    if admits(request.route, limited, time_left):
        return placement
    _refuse_crowded(deps, request, reply, placement)
    return None


def _refuse_crowded(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    reply: Reply,
    placement: Placement,
) -> None:
    """Answer a generation for which engines have no capacity left."""
    time_left = request.measure_time_left(deps.clock.monotonic())
    inputs = {
        "wait_ms": round(placement.wait_seconds * 1000, 1),
        "turn_ms": round(placement.limit_wait_seconds * 1000, 1),
        "occupancy": round(placement.occupancy, 2),
    }
    is_limited = not admits_rate_limit_wait(request.route, placement)
    if not is_limited and refuse_generation(deps, request, reply, placement, **inputs):
        return
    retry_after = draw_retry_delay(placement, time_left, deps.random)
    reply.refuse("limited" if is_limited else "crowded", retry_after, **inputs)


def _choose_placement(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    prompt: PromptTraits,
    engines: list[UpstreamRecord],
) -> Placement | None:
    size = len(request.incoming.body)
    rank = rank_generation(request.route, request.is_late)
    return deps.planner.choose(prompt, engines, request.avoid, size, rank)


async def _generate_on_one_engine(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    sender: Sender,
    ticket: Ticket,
) -> Send:
    """Have one engine prefill the prompt and decode."""
    placement = ticket.placement
    await await_reservation(deps, ticket.reader_reservation)
    options = SendOptions(
        first_part_timeout=find_first_event_timeout(request.route, placement),
        holder=placement.holder,
        on_first_part=_make_first_event_callback(deps, ticket),
    )
    return await sender.run(placement.decoder, options)


def _note_used(prefill: RetainedPrefill) -> None:
    prefill.is_used = True


def _make_first_event_callback(
    deps: ForwarderDependencies, ticket: Ticket, prefill: RetainedPrefill | None = None
) -> Callable[[], None]:
    """Return the callback for the first event, which ends the prefill."""
    started = deps.clock.monotonic()

    def note() -> None:
        if prefill is not None:
            _note_used(prefill)
        deps.planner.end_prefill(ticket)
        engine = ticket.placement.decoder
        if not deps.loads.silences.was_silent_since(engine.id, started):
            deps.planner.learn_first(ticket, deps.clock.monotonic() - started)

    return note


async def _prefill(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    sender: Sender,
    ticket: Ticket,
) -> Prefilled | Send:
    """Have an engine prefill the prompt; returns the failed send if it does not."""
    placement = ticket.placement
    await await_reservation(deps, ticket.reader_reservation)
    started = deps.clock.monotonic()
    options = SendOptions(
        prefill_only=True,
        holder=placement.holder,
        first_part_timeout=find_prefill_timeout(request.route, placement),
    )
    send = await sender.run(placement.reader, options)
    took = deps.clock.monotonic() - started
    _log_prefill(deps, request, placement, took, send)
    if send.end is SendResult.ANSWERED and send.status == 200:
        try:
            prefilled = deps.adapter.read_prefilled(send.content)
        except ProtocolError as error:
            send.detail = str(error)
        else:
            if not send.was_silent:
                deps.planner.learn_prefill(ticket, took)
            if sender.may_hand_over():
                return prefilled
            send.detail = PrefillLoss.REPLACED
            deps.count_unused_prefill(PrefillLoss.REPLACED)
    # A prefill does not count as running the request, whatever its result.
    if send.end not in (SendResult.CALLER_LEFT, SendResult.NOT_SENT):
        is_refused = send.end in (SendResult.NOT_RUN, SendResult.OTHER_UPSTREAM)
        send.end = SendResult.NOT_RUN if is_refused else SendResult.UNREAD
    return send


async def _hand_over(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    sender: Sender,
    prefill: RetainedPrefill,
) -> Send:
    """Have the other engine decode from the prefill."""
    send = await _generate_from(deps, request, sender, prefill)
    if send.end not in HANDLE_KEPT_ENDS:
        prefill.is_handle_used = True
    return send


async def _generate_from(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    sender: Sender,
    prefill: RetainedPrefill,
) -> Send:
    """Send to the decoding engine, by handle or else by copying cached blocks.

    Guards against handles that expire at once: the decoding engine refuses them, and
    the prefill would be lost. The prefilling engine still has the prompt in its cache,
    so the decoding engine copies it from there. For some seconds after that, prefills
    of this engine are only copied.
    """
    ticket = prefill.ticket
    placement = ticket.placement
    reader = placement.reader
    await await_reservation(deps, ticket.decoder_reservation)
    if not deps.planner.must_copy_from_cache(prefill):
        source = deps.adapter.build_kv_source(reader.address, prefill.prefilled)
        options = SendOptions(
            kv_source=source,
            on_first_part=_make_first_event_callback(deps, ticket, prefill),
        )
        send = await sender.run(placement.decoder, options)
        if send.end is not SendResult.NOT_RUN or not _may_copy(deps, placement):
            return send
        now = deps.clock.monotonic()
        deps.loads.note_expired_handle(reader.id, now)
        sender.log(send, "copy")
        if not deps.pools.get_window(request.service).take(now):
            return send
        await await_reservation(deps, deps.limits.reserve(placement.decoder, now))
    options = SendOptions(holder=reader, on_first_part=partial(_note_used, prefill))
    return await sender.run(placement.decoder, options)


def _may_copy(deps: ForwarderDependencies, placement: Placement) -> bool:
    """Return whether a decoder that refused a handle may copy the prompt instead.

    One that is leaving or wants to rest refused for that reason, not for the handle.
    """
    engines = (placement.decoder, placement.reader)
    return all(map(deps.statements.is_accepting, engines))


def _log_prefill(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    placement: Placement,
    took: timedelta,
    send: Send,
) -> None:
    """Log the measured and the expected duration of a prefill."""
    now = deps.clock.monotonic()
    deps.events.record(
        "prompt.read",
        request=request.id,
        upstream=placement.reader.id,
        decoder=placement.decoder.id,
        copied_from=placement.holder.id if placement.holder else "",
        wait_ms=round(placement.wait_seconds * 1000, 1),
        read_ms=round(placement.prefill_seconds * 1000, 1),
        took_ms=round(took.total_seconds() * 1000, 1),
        **request.describe_suspicion(),
        blame=send.blame.value,
        new_tokens=placement.prefill.new,
        cached_tokens=placement.prefill.cached,
        copied_tokens=placement.prefill.copied,
        lasting_factor=round(placement.lasting_factor, 2),
        current_factor=round(placement.current_factor, 2),
        late=request.is_late,
        rest_ms=round(
            deps.latency_margins.find_margin(request.route, now).total_seconds() * 1000,
            1,
        ),
        samples=round(deps.planner.count_samples(placement.reader.service), 1),
        **deps.describe_list(request.sent_at),
    )
