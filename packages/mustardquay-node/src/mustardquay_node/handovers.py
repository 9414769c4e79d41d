"""Disaggregated generations: one engine prefills a prompt, another one decodes."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial

from mustardquay.errors import ProtocolError
from mustardquay.generation_limits import (
    admits_generation,
    admits_late,
    admits_turn,
    draw_return,
    has_returned,
    rank_generation,
)
from mustardquay.kept_readings import ReadingLoss
from mustardquay.placements import Placement
from mustardquay.requests import PromptTraits, SendEnd
from mustardquay.stalls import limit_first, limit_reading
from mustardquay.upstream_lists import UpstreamRecord

from .adapters import Prefilled
from .forwarder_parts import ForwardedRequest, ForwarderParts
from .generators import KeptReading, Ticket
from .rate_turns import await_turn
from .replies import Reply
from .sends import Send, Sender, SendOptions

__all__ = ["drop_reading", "send_generation"]

HANDLE_KEPT_ENDS = (SendEnd.NOT_RUN, SendEnd.NOT_SENT, SendEnd.OTHER_UPSTREAM)
"""Results of a send to the decoding engine after which the handle of the prefill is
presumably still valid."""


async def send_generation(
    parts: ForwarderParts,
    request: ForwardedRequest,
    sender: Sender,
    reply: Reply,
    prompt: PromptTraits,
    engines: list[UpstreamRecord],
) -> Send | None:
    """Place a generation and send it; None without an engine or if it was refused."""
    planner = parts.planner
    reading = request.reading
    if reading is not None and _take_up(parts, request, reading, engines):
        try:
            return await _hand_over(parts, request, sender, reading)
        finally:
            planner.end(reading.ticket)
    if request.sendings.offered:
        placement = _choose_placement(parts, request, prompt, engines)
        if placement is not None and not admits_turn(request.route, placement):
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
            return await _generate_on_one_engine(parts, request, sender, ticket)
        read = await _prefill(parts, request, sender, ticket)
        if isinstance(read, Send):
            planner.end_reading(ticket)
            return read
        engines = parts.upstreams.list_usable(request.service)
        request.reading = KeptReading(ticket, read)
        if not planner.renew_decoder(ticket, engines, request.avoid):
            drop_reading(parts, request, ReadingLoss.NO_GENERATOR)
            return None
        planner.end_reading(ticket, is_handed_over=True)
        return await _hand_over(parts, request, sender, request.reading)
    finally:
        planner.end(ticket)


def _take_up(
    parts: ForwarderParts,
    request: ForwardedRequest,
    reading: KeptReading,
    engines: list[UpstreamRecord],
) -> bool:
    """Choose another engine to decode a kept prefill; drop it if there is none."""
    loss = parts.planner.take_up(reading, engines, request.avoid)
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
    """Discard a request's prefill, and log it if nothing was generated from it."""
    reading, request.reading = request.reading, None
    if reading is None or reading.is_used:
        return
    placement = reading.ticket.placement
    parts.count_unused_reading(reason)
    parts.events.record(
        "reading.unused",
        request=request.id,
        upstream=placement.reader.id,
        decoder=placement.decoder.id,
        reason=reason,
        new_tokens=placement.reading.new,
    )


def _admit(
    parts: ForwarderParts,
    request: ForwardedRequest,
    reply: Reply,
    prompt: PromptTraits,
    engines: list[UpstreamRecord],
) -> Placement | None:
    """Place a new generation; refuse it if its answer would come too late.

    Retries of refused callers get a lower rank than requests that can still be answered
    in time.
    """
    now = parts.clock.monotonic()
    time_left = request.measure_time_left(now)
    request.is_late = has_returned(request.route, time_left)
    if not request.is_late:
        placement = _choose_placement(parts, request, prompt, engines)
        if placement is None:
            return None
        rest = parts.answer_times.find_rest(request.route, now)
        if admits_generation(request.route, placement, time_left, rest):
            request.expected = timedelta(seconds=placement.expected_seconds)
            return placement
        # A refused caller's retry can't meet the latency target either.
        request.is_late = True
    placement = _choose_placement(parts, request, prompt, engines)
    if placement is None:
        return None
    if admits_late(request.route, placement, time_left):
        return placement
    back = draw_return(placement, time_left, parts.random)
    reply.refuse(
        "crowded" if admits_turn(request.route, placement) else "limited",
        back,
        wait_ms=round(placement.wait_seconds * 1000, 1),
        turn_ms=round(placement.turn_seconds * 1000, 1),
        occupancy=round(placement.occupancy, 2),
    )
    return None


def _choose_placement(
    parts: ForwarderParts,
    request: ForwardedRequest,
    prompt: PromptTraits,
    engines: list[UpstreamRecord],
) -> Placement | None:
    size = len(request.incoming.body)
    rank = rank_generation(request.route, request.is_late)
    return parts.planner.choose(prompt, engines, request.avoid, size, rank)


async def _generate_on_one_engine(
    parts: ForwarderParts, request: ForwardedRequest, sender: Sender, ticket: Ticket
) -> Send:
    """Have one engine prefill the prompt and decode."""
    placement = ticket.placement
    await await_turn(parts, ticket.reader_turn)
    options = SendOptions(
        patience=limit_first(request.route, placement),
        fetch_from=placement.holder.address if placement.holder else "",
        read=_make_first_event_callback(parts, ticket),
    )
    return await sender.run(placement.decoder, options)


def _note_used(reading: KeptReading) -> None:
    reading.is_used = True


def _make_first_event_callback(
    parts: ForwarderParts, ticket: Ticket, reading: KeptReading | None = None
) -> Callable[[], None]:
    """Return the callback for the first event, which ends the prefill."""
    started = parts.clock.monotonic()

    def note() -> None:
        if reading is not None:
            _note_used(reading)
        parts.planner.end_reading(ticket)
        parts.planner.learn_first(ticket, parts.clock.monotonic() - started)

    return note


async def _prefill(
    parts: ForwarderParts,
    request: ForwardedRequest,
    sender: Sender,
    ticket: Ticket,
) -> Prefilled | Send:
    """Have an engine prefill the prompt; returns the failed send if it does not."""
    placement = ticket.placement
    await await_turn(parts, ticket.reader_turn)
    started = parts.clock.monotonic()
    options = SendOptions(
        prefill_only=True,
        fetch_from=placement.holder.address if placement.holder else "",
        patience=limit_reading(request.route, placement),
    )
    send = await sender.run(placement.reader, options)
    took = parts.clock.monotonic() - started
    _log_prefill(parts, request, placement, took)
    if send.end is SendEnd.ANSWERED and send.status == 200:
        try:
            prefilled = parts.adapter.read_prefilled(send.content)
        except ProtocolError as error:
            send.detail = str(error)
        else:
            parts.planner.learn_read(ticket, took)
            return prefilled
    # A prefill does not count as running the request, whatever its result.
    if send.end is not SendEnd.CALLER_LEFT:
        is_refused = send.end in (SendEnd.NOT_RUN, SendEnd.OTHER_UPSTREAM)
        send.end = SendEnd.NOT_RUN if is_refused else SendEnd.UNREAD
    return send


async def _hand_over(
    parts: ForwarderParts,
    request: ForwardedRequest,
    sender: Sender,
    reading: KeptReading,
) -> Send:
    """Have the other engine decode from the prefill."""
    send = await _generate_from(parts, request, sender, reading)
    if send.end not in HANDLE_KEPT_ENDS:
        reading.is_handle_used = True
    return send


async def _generate_from(
    parts: ForwarderParts,
    request: ForwardedRequest,
    sender: Sender,
    reading: KeptReading,
) -> Send:
    """Send to the decoding engine, by handle or else by copying cached blocks.

    Guards against handles that expire at once: the decoding engine refuses them, and
    the prefill would be lost. The prefilling engine still has the prompt in its cache,
    so the decoding engine copies it from there. For some seconds after that, prefills
    of this engine are only copied.
    """
    ticket = reading.ticket
    placement = ticket.placement
    address, reader = placement.reader.address, placement.reader.id
    await await_turn(parts, ticket.decoder_turn)
    if not parts.planner.must_copy(reading):
        source = parts.adapter.build_kv_source(address, reading.prefilled)
        options = SendOptions(
            kv_source=source, read=_make_first_event_callback(parts, ticket, reading)
        )
        send = await sender.run(placement.decoder, options)
        if send.end is not SendEnd.NOT_RUN:
            return send
        now = parts.clock.monotonic()
        parts.loads.note_lapsed_handle(reader, now)
        sender.log(send, "copy")
        if not parts.pools.get_window(request.service).take(now):
            return send
        await await_turn(parts, parts.limits.reserve(placement.decoder, now))
    options = SendOptions(fetch_from=address, read=partial(_note_used, reading))
    return await sender.run(placement.decoder, options)


def _log_prefill(
    parts: ForwarderParts,
    request: ForwardedRequest,
    placement: Placement,
    took: timedelta,
) -> None:
    """Log the measured and the expected duration of a prefill."""
    now = parts.clock.monotonic()
    parts.events.record(
        "prompt.read",
        request=request.id,
        upstream=placement.reader.id,
        decoder=placement.decoder.id,
        copied_from=placement.holder.id if placement.holder else "",
        wait_ms=round(placement.wait_seconds * 1000, 1),
        read_ms=round(placement.read_seconds * 1000, 1),
        took_ms=round(took.total_seconds() * 1000, 1),
        new_tokens=placement.reading.new,
        cached_tokens=placement.reading.cached,
        copied_tokens=placement.reading.copied,
        late=request.is_late,
        rest_ms=round(
            parts.answer_times.find_rest(request.route, now).total_seconds() * 1000, 1
        ),
        samples=round(parts.planner.count_samples(placement.reader.service), 1),
    )
