"""Handovers: one engine reads a prompt, and another one generates from it."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial

from mustardquay.errors import ProtocolError
from mustardquay.generation_limits import (
    admits_generation,
    admits_late,
    admits_rate_limit_wait,
    draw_retry_delay,
    is_retry,
    rank_generation,
)
from mustardquay.placements import Placement
from mustardquay.requests import PromptTraits, SendResult
from mustardquay.retained_prefills import PrefillLoss
from mustardquay.stall_timeouts import find_first_event_timeout, find_prefill_timeout
from mustardquay.upstream_lists import UpstreamRecord

from .adapters import Prefilled
from .forwarder_parts import ForwardedRequest, ForwarderParts
from .generation_planners import RetainedPrefill, Ticket
from .rate_turns import await_turn
from .replies import Reply
from .sends import Send, Sender, SendOptions

__all__ = ["drop_reading", "send_generation"]

NOT_TAKEN = (SendResult.NOT_RUN, SendResult.NOT_SENT, SendResult.OTHER_UPSTREAM)
"""Ends of a hand-over after which the handle is still there, as far as is known."""


async def send_generation(
    parts: ForwarderParts,
    request: ForwardedRequest,
    sender: Sender,
    reply: Reply,
    prompt: PromptTraits,
    engines: list[UpstreamRecord],
) -> Send | None:
    """Place a generation and send it; None without an engine or when refused."""
    planner = parts.planner
    reading = request.reading
    if reading is not None and _take_up(parts, request, reading, engines):
        try:
            return await _hand_over(parts, request, sender, reading)
        finally:
            planner.end(reading.ticket)
    if request.sendings.offered:
        placement = _choose(parts, request, prompt, engines)
        if placement is not None and not admits_rate_limit_wait(
            request.route, placement
        ):
            return None
    else:
        placement = _admit(parts, request, reply, prompt, engines)
    if placement is None:
        return None
    size = len(request.incoming.body)
    is_late = request.is_late and placement.prefiller is not None
    rank = rank_generation(request.route, is_late)
    ticket = planner.begin(prompt, placement, size, rank)
    try:
        if placement.prefiller is None:
            return await _generate_alone(parts, request, sender, ticket)
        read = await _have_read(parts, request, sender, ticket)
        if isinstance(read, Send):
            planner.end_prefill(ticket)
            return read
        engines = parts.upstreams.list_usable(request.service)
        request.reading = RetainedPrefill(ticket, read)
        if not planner.reselect_decoder(ticket, engines, request.avoid):
            drop_reading(parts, request, PrefillLoss.NO_GENERATOR)
            return None
        planner.end_prefill(ticket, is_handed_over=True)
        return await _hand_over(parts, request, sender, request.reading)
    finally:
        planner.end(ticket)


def _take_up(
    parts: ForwarderParts,
    request: ForwardedRequest,
    reading: RetainedPrefill,
    engines: list[UpstreamRecord],
) -> bool:
    """Have another engine generate from what was read; dropped if none can."""
    loss = parts.planner.reassign_decoder(reading, engines, request.avoid)
    if loss is not None:
        drop_reading(parts, request, loss)
        return False
    placement = reading.ticket.placement
    parts.events.record(
        "reading.kept",
        request=request.id,
        upstream=placement.reader.id,
        decoder=placement.decoder.id,
        copied=reading.is_handle_used,
    )
    return True


def drop_reading(parts: ForwarderParts, request: ForwardedRequest, reason: str) -> None:
    """Give up what was read for a request, and tell it if nothing came of it."""
    reading, request.reading = request.reading, None
    if reading is None or reading.is_used:
        return
    placement = reading.ticket.placement
    parts.count_unused_prefill(reason)
    parts.events.record(
        "reading.unused",
        request=request.id,
        upstream=placement.reader.id,
        decoder=placement.decoder.id,
        reason=reason,
        new_tokens=placement.prefill.new,
    )


def _admit(
    parts: ForwarderParts,
    request: ForwardedRequest,
    reply: Reply,
    prompt: PromptTraits,
    engines: list[UpstreamRecord],
) -> Placement | None:
    """Place a new generation; refuses it if its answer would be of no use.

    Callers who come back wait behind those who can still be answered in time.
    """
    now = parts.clock.monotonic()
    time_left = request.measure_left(now)
    request.is_late = is_retry(request.route, time_left)
    if not request.is_late:
        placement = _choose(parts, request, prompt, engines)
        if placement is None:
            return None
        rest = parts.latency_margins.find_margin(request.route, now)
        if admits_generation(request.route, placement, time_left, rest):
            request.expected = timedelta(seconds=placement.expected_seconds)
            return placement
        # Who is told to come back can't be in time either.
        request.is_late = True
    placement = _choose(parts, request, prompt, engines)
    if placement is None:
        return None
    if admits_late(request.route, placement, time_left):
        return placement
    back = draw_retry_delay(placement, time_left, parts.random)
    reply.refuse(
        "crowded" if admits_rate_limit_wait(request.route, placement) else "limited",
        back,
        wait_ms=round(placement.wait_seconds * 1000, 1),
        turn_ms=round(placement.limit_wait_seconds * 1000, 1),
        occupancy=round(placement.occupancy, 2),
    )
    return None


def _choose(
    parts: ForwarderParts,
    request: ForwardedRequest,
    prompt: PromptTraits,
    engines: list[UpstreamRecord],
) -> Placement | None:
    size = len(request.incoming.body)
    rank = rank_generation(request.route, request.is_late)
    return parts.planner.choose(prompt, engines, request.avoid, size, rank)


async def _generate_alone(
    parts: ForwarderParts, request: ForwardedRequest, sender: Sender, ticket: Ticket
) -> Send:
    """Have one engine read the prompt and generate."""
    placement = ticket.placement
    await await_turn(parts, ticket.reader_reservation)
    options = SendOptions(
        patience=find_first_event_timeout(request.route, placement),
        fetch_from=placement.holder.address if placement.holder else "",
        read=_note_first(parts, ticket),
    )
    return await sender.run(placement.decoder, options)


def _note_used(reading: RetainedPrefill) -> None:
    reading.is_used = True


def _note_first(
    parts: ForwarderParts, ticket: Ticket, reading: RetainedPrefill | None = None
) -> Callable[[], None]:
    """Return what is called when the first event shows that the prompt was read."""
    started = parts.clock.monotonic()

    def note() -> None:
        if reading is not None:
            _note_used(reading)
        parts.planner.end_prefill(ticket)
        parts.planner.learn_first(ticket, parts.clock.monotonic() - started)

    return note


async def _have_read(
    parts: ForwarderParts,
    request: ForwardedRequest,
    sender: Sender,
    ticket: Ticket,
) -> Prefilled | Send:
    """Have an engine read the prompt; returns the failed send if it does not."""
    placement = ticket.placement
    await await_turn(parts, ticket.reader_reservation)
    started = parts.clock.monotonic()
    options = SendOptions(
        prefill_only=True,
        fetch_from=placement.holder.address if placement.holder else "",
        patience=find_prefill_timeout(request.route, placement),
    )
    send = await sender.run(placement.reader, options)
    took = parts.clock.monotonic() - started
    _log_read(parts, request, placement, took)
    if send.end is SendResult.ANSWERED and send.status == 200:
        try:
            prefilled = parts.adapter.read_prefilled(send.content)
        except ProtocolError as error:
            send.detail = str(error)
        else:
            parts.planner.learn_prefill(ticket, took)
            return prefilled
    # Reading a prompt does not run the request, whatever came of it.
    if send.end is not SendResult.CALLER_LEFT:
        is_refused = send.end in (SendResult.NOT_RUN, SendResult.OTHER_UPSTREAM)
        send.end = SendResult.NOT_RUN if is_refused else SendResult.UNREAD
    return send


async def _hand_over(
    parts: ForwarderParts,
    request: ForwardedRequest,
    sender: Sender,
    reading: RetainedPrefill,
) -> Send:
    """Have the other engine generate from what was read."""
    send = await _generate_from(parts, request, sender, reading)
    if send.end not in NOT_TAKEN:
        reading.is_handle_used = True
    return send


async def _generate_from(
    parts: ForwarderParts,
    request: ForwardedRequest,
    sender: Sender,
    reading: RetainedPrefill,
) -> Send:
    """Send to the engine that generates, by handle or else by the cached parts.

    Guards against handles that lapse at once: the engine that generates refuses, and
    the reading is lost. The engine that read still holds the prompt among its cached
    parts, so the other one copies it from there; for some seconds nothing else is
    tried with that engine.
    """
    ticket = reading.ticket
    placement = ticket.placement
    address, reader = placement.reader.address, placement.reader.id
    await await_turn(parts, ticket.decoder_reservation)
    if not parts.planner.must_copy_from_cache(reading):
        source = parts.adapter.build_kv_source(address, reading.prefilled)
        options = SendOptions(
            kv_source=source, read=_note_first(parts, ticket, reading)
        )
        send = await sender.run(placement.decoder, options)
        if send.end is not SendResult.NOT_RUN:
            return send
        now = parts.clock.monotonic()
        parts.loads.note_expired_handle(reader, now)
        sender.log(send, "copy")
        if not parts.pools.get_window(request.service).take(now):
            return send
        await await_turn(parts, parts.limits.reserve(placement.decoder, now))
    options = SendOptions(fetch_from=address, read=partial(_note_used, reading))
    return await sender.run(placement.decoder, options)


def _log_read(
    parts: ForwarderParts,
    request: ForwardedRequest,
    placement: Placement,
    took: timedelta,
) -> None:
    """Note how long a prompt took to be read, beside what was expected."""
    now = parts.clock.monotonic()
    parts.events.record(
        "prompt.read",
        request=request.id,
        upstream=placement.reader.id,
        decoder=placement.decoder.id,
        copied_from=placement.holder.id if placement.holder else "",
        wait_ms=round(placement.wait_seconds * 1000, 1),
        read_ms=round(placement.prefill_seconds * 1000, 1),
        took_ms=round(took.total_seconds() * 1000, 1),
        new_tokens=placement.prefill.new,
        cached_tokens=placement.prefill.cached,
        copied_tokens=placement.prefill.copied,
        late=request.is_late,
        rest_ms=round(
            parts.latency_margins.find_margin(request.route, now).total_seconds()
            * 1000,
            1,
        ),
        samples=round(parts.planner.count_samples(placement.reader.service), 1),
    )
