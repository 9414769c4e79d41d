"""Placement of generations, based on the work outstanding at each engine.

The reader is the engine that prefills a prompt, the decoder the one that generates from
it; they may be the same engine.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import replace
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
from mustardquay.decoder_choices import choose_decoder, measure_decode_speeds
from mustardquay.engine_models import EngineModels
from mustardquay.engine_samples import make_sample
from mustardquay.engine_states import (
    EngineStates,
    HashedPart,
    OutstandingWork,
    PrefixCaches,
    hash_parts,
)
from mustardquay.generation_limits import LATE_RANK
from mustardquay.pause_limits import find_pauses
from mustardquay.peer_digests import PeerDigest, PeerDigests, PlacedPart
from mustardquay.placements import Placement, choose_engines
from mustardquay.rate_limits import RateLimiter
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.retained_prefills import PrefillLoss, find_prefill_loss
from mustardquay.routing_tables import RoutingTable
from mustardquay.stage_capacities import DecodeSpeed
from mustardquay.stream_ages import StreamAges
from mustardquay.uplinks import Uplink
from mustardquay.upstream_lists import UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads

from .peers import MAX_PLACED_PARTS
from .tickets import RetainedPrefill, Ticket

__all__ = ["GenerationPlanner"]


class GenerationPlanner:
    """Places generations and tracks outstanding work, shared with other gateways."""

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamList,
        loads: UpstreamLoads,
        models: EngineModels | None = None,
        uplink: Uplink | None = None,
        limits: RateLimiter | None = None,
        note_change: Callable[[], None] = lambda: None,
        random: Random | None = None,
        load_reports: bool = False,
    ):
        """Initialise without outstanding work.

        `note_change` is called whenever the outstanding work of this gateway changes.
        With `load_reports`, speeds of engines that report theirs are learned, too.
        """
        self._random = random or Random(0)
        self._sample = make_sample(self._random, 1)
        self._clock = clock
        self._upstreams = upstreams
        self._uplink = uplink or Uplink()
        self._models = models or EngineModels()
        self._reports = loads.capacities if load_reports else None
        self._limits = limits or RateLimiter()
        self._states = EngineStates(
            loads, OutstandingWork(), PrefixCaches(), self._models, limits=self._limits
        )
        self._placed: list[PlacedPart] = []
        self._changing: set[str] = set()
        self._stream_ages = StreamAges()
        self._note_change = note_change

    def choose(
        self,
        prompt: PromptTraits,
        engines: Sequence[UpstreamRecord],
        avoid: Collection[str],
        size: int = 0,
        rank: int = 0,
    ) -> Placement | None:
        """Return the best placement now for a generation whose body has `size` bytes.

        Engines prefill it before all prompts of a higher `rank`.
        """
        now = self._clock.monotonic()
        self._states.works.peers.expire(now)
        parts = hash_parts(prompt.parts)
        engines = self.exclude_changing(engines)
        sending = self._uplink.predict_time(size, now)
        states, sample = self._states, self._sample
        return choose_engines(
            prompt, parts, engines, states, now, avoid, sending, rank, sample
        )

    def reselect_decoder(
        self, ticket: Ticket, engines: Sequence[UpstreamRecord], avoid: Collection[str]
    ) -> bool:
        """Choose the decoder again after the prompt has been prefilled.

        Guards against a decoder that started to drain or to change its stage while the
        prompt was queued: it would get a new request although the gateways have been
        notified. Returns False if no decoder is available.
        """
        now = self._clock.monotonic()
        usable = self.exclude_changing(engines)
        decoder = choose_decoder(
            usable, self._states, now, avoid, ticket.output_tokens, self._sample
        )
        if decoder is None:
            return False
        if decoder.id != ticket.placement.decoder.id:
            if ticket.decoder_reservation is not None:
                self._limits.release(ticket.decoder_reservation)
            ticket.decoder_reservation = self._limits.reserve(decoder, now)
        ticket.placement = replace(ticket.placement, decoder=decoder)
        return True

    def exclude_changing(
        self, engines: Sequence[UpstreamRecord]
    ) -> Sequence[UpstreamRecord]:
        """Return the engines that no gateway has ordered to change their stage."""
        changing = self._changing | self._states.works.peers.list_changing()
        return [engine for engine in engines if engine.id not in changing]

    def begin(
        self,
        prompt: PromptTraits,
        placement: Placement,
        size: int = 0,
        rank: int = 0,
    ) -> Ticket:
        """Account for a placement that is about to be sent, of `size` bytes."""
        sends = 1 if placement.prefiller is None else 2
        self._uplink.enqueue(size * sends, self._clock.monotonic())
        reader = placement.reader.id
        self._add_prefill_work(reader, placement.work, rank)
        self._models.note_placed(
            placement.reader, placement.prefill_seconds, self._clock.monotonic()
        )
        parts = hash_parts(prompt.parts)
        # Before the prefill has ended, so that the next prompts with them go there too.
        self._note_placed_parts(placement.reader, parts)
        ticket = Ticket(placement, parts, rank, output_tokens=prompt.output_tokens)
        self._reserve_sends(ticket)
        if placement.prefiller is None:
            self._occupy_slot(ticket)
        return ticket

    def _reserve_sends(self, ticket: Ticket) -> None:
        now = self._clock.monotonic()
        placement = ticket.placement
        ticket.reader_reservation = self._limits.reserve(placement.reader, now)
        if placement.prefiller is not None:
            ticket.decoder_reservation = self._limits.reserve(placement.decoder, now)

    def end_prefill(self, ticket: Ticket, is_handed_over: bool = False) -> None:
        """Note that the prompt has been prefilled, or never will be.

        With `is_handed_over`, the decoder copies it from the reader.
        """
        if ticket.is_prefilled:
            return
        ticket.is_prefilled = True
        placement = ticket.placement
        self._add_prefill_work(placement.reader.id, -placement.work, ticket.rank)
        if is_handed_over:
            self._note_copying(ticket)

    def find_prefill_loss(
        self,
        prefill: RetainedPrefill,
        engines: Sequence[UpstreamRecord],
        avoid: Collection[str],
    ) -> PrefillLoss | None:
        """Return why no other engine can use a retained prefill, None if one can."""
        now = self._clock.monotonic()
        ticket = prefill.ticket
        return find_prefill_loss(
            ticket.placement.reader,
            ticket.parts,
            self.must_copy_from_cache(prefill),
            self.exclude_changing(engines),
            self._states,
            now,
            avoid,
            prefill.silent_since,
        )

    def must_copy_from_cache(self, prefill: RetainedPrefill) -> bool:
        """Return whether a prompt can only be copied from its reader's cache.

        That is so if its handle may have been fetched already, or if handles of that
        engine currently expire at once.
        """
        reader = prefill.ticket.placement.reader.id
        now = self._clock.monotonic()
        is_expired = self._states.loads.has_expired_handles(reader, now)
        return prefill.is_handle_used or is_expired

    def reassign_decoder(
        self,
        prefill: RetainedPrefill,
        engines: Sequence[UpstreamRecord],
        avoid: Collection[str],
    ) -> PrefillLoss | None:
        """Reassign a prompt to another decoder; return why that fails, or None."""
        loss = self.find_prefill_loss(prefill, engines, avoid)
        if loss is not None:
            return loss
        old = prefill.ticket
        ticket = Ticket(
            old.placement, old.parts, old.rank, True, output_tokens=old.output_tokens
        )
        if not self.reselect_decoder(ticket, engines, avoid):
            return PrefillLoss.NO_GENERATOR
        self._note_copying(ticket)
        prefill.ticket = ticket
        return None

    def _note_copying(self, ticket: Ticket) -> None:
        """Account for a prompt that the decoder copies and generates from."""
        self._note_placed_parts(ticket.placement.decoder, ticket.parts)
        self._occupy_slot(ticket)

    def _add_prefill_work(self, engine: str, seconds: float, rank: int) -> None:
        self._note_change()
        outstanding = self._states.works.get(engine).seconds
        outstanding[rank] = max(outstanding[rank] + seconds, 0.0)

    def _occupy_slot(self, ticket: Ticket) -> None:
        ticket.is_running = True
        decoder = ticket.placement.decoder
        self._stream_ages.begin(decoder.service, id(ticket), self._clock.monotonic())
        self._note_change()
        self._states.works.get(ticket.placement.decoder.id).running += 1

    def _note_placed_parts(
        self, engine: UpstreamRecord, parts: Sequence[HashedPart]
    ) -> None:
        """Note which engine has the parts, here and for the next digest."""
        self._states.prefixes.note(engine.id, engine.stage, parts)
        self._placed += [PlacedPart(engine.id, *part) for part in parts]
        del self._placed[:-MAX_PLACED_PARTS]

    def end(self, ticket: Ticket) -> None:
        """Release everything that the generation still holds."""
        self.end_prefill(ticket)
        for reservation in (ticket.reader_reservation, ticket.decoder_reservation):
            if reservation is not None:
                self._limits.release(reservation)
        if ticket.is_running:
            self._stream_ages.end(ticket.placement.decoder.service, id(ticket))
            self._note_change()
            work = self._states.works.get(ticket.placement.decoder.id)
            work.running = max(work.running - 1, 0)

    def apply_digest(self, digest: PeerDigest) -> None:
        """Apply the outstanding work and placements of another gateway."""
        if not self._states.works.peers.apply_digest(digest, self._clock.monotonic()):
            return
        now = self._clock.monotonic()
        self._models.adopt_speeds(digest.speeds, now)
        self._models.apply_factors(
            digest.gateway, digest.engine_factors, self._upstreams.get, now
        )
        for part in digest.placed:
            engine = self._upstreams.get(part.engine)
            if engine is not None:
                hashed = ((part.part, part.tokens),)
                self._states.prefixes.note(engine.id, engine.stage, hashed)

    def set_gateway_counts(self, senders: int, others: int) -> None:
        """Note how many gateways send digests here, and how many others there are."""
        self._states.works.peers.unreported_ratio = others / senders if senders else 0.0
        self._sample = make_sample(self._random, 1 + senders + others)

    def get_peers(self) -> PeerDigests:
        """Return the current digests of the other gateways."""
        peers = self._states.works.peers
        peers.expire(self._clock.monotonic())
        return peers

    def build_digest(
        self, name: str, incarnation: int, number: int, configuration: int
    ) -> PeerDigest:
        """Return the next digest and clear the placements it contains."""
        placed, self._placed = tuple(self._placed), []
        named = {part.engine for part in placed}
        engines = self._states.works.list_digests(named)
        return PeerDigest(
            name,
            incarnation,
            number,
            configuration,
            engines,
            placed,
            tuple(sorted(self._changing)),
            speeds=self._models.export_speeds(),
            engine_factors=self._models.export_factors(self._clock.monotonic()),
        )

    def set_changing(self, engines: Collection[str]) -> None:
        """Set the engines that this gateway has ordered to change their stage."""
        self._changing = set(engines)

    def count_streams(self, engine: str) -> int:
        """Return the number of generations of all gateways running at an engine."""
        return self._states.works.sum_running(engine)

    def measure_decode_speeds(
        self, engines: Sequence[UpstreamRecord]
    ) -> Mapping[str, DecodeSpeed] | None:
        """Return how fast each engine decodes; None without load reports."""
        return measure_decode_speeds(engines, self._states, self._clock.monotonic())

    def estimate_stream_duration(self, service: str) -> timedelta:
        """Return how long the running generations of this gateway last."""
        return self._stream_ages.estimate_duration(service, self._clock.monotonic())

    def add_cached_parts(
        self, engine: UpstreamRecord, parts: Sequence[PromptPart]
    ) -> None:
        """Note the parts that an engine reports as cached."""
        self._states.prefixes.note(engine.id, engine.stage, hash_parts(parts))

    def forget(self, id: str) -> None:
        """Discard the state of an engine that was removed or restarted."""
        self._states.works.works.pop(id, None)
        self._states.prefixes.caches.pop(id, None)
        self._models.forget(id)

    def apply_table(self, table: RoutingTable) -> None:
        """Apply what the configuration declares of engines and of routes to them."""
        self._states.pauses.clear()
        self._states.pauses.update(find_pauses(table.routes))
        for service in table.services.values():
            engine = service.engine
            if engine is None:
                continue
            self._states.prefixes.capacity = engine.kv_tokens
            self._models.set_traits(
                service.name, engine.steps_per_event, engine.copy_seconds
            )

    def learn_prefill(self, ticket: Ticket, took: timedelta) -> None:
        """Learn from the duration of a prefill on another engine than the decoder.

        Late prompts are left out: ones that came after them may have been served first,
        so their times say nothing about the speed of the engine.
        """
        if ticket.rank >= LATE_RANK:
            return
        placement = ticket.placement
        self._models.begin_speeds(self._reports, placement.reader)
        self._models.learn_prefill(
            placement.reader,
            placement.prefill,
            placement.wait_seconds,
            took.total_seconds(),
            self._clock.monotonic(),
            placement.work_seconds,
        )

    def learn_first(self, ticket: Ticket, took: timedelta) -> None:
        """Learn from the time from a generation's start to its first event."""
        placement = ticket.placement
        engine = placement.decoder
        self._models.begin_speeds(self._reports, engine)
        streams = self._states.works.sum_running(engine.id)
        seconds = took.total_seconds()
        now = self._clock.monotonic()
        if placement.prefiller is not None:
            self._models.learn_first(engine, streams, seconds, now)
            return
        self._models.learn_combined(
            engine,
            placement.prefill,
            streams,
            seconds,
            now,
            placement.wait_seconds,
        )

    def learn_pause(self, engine: UpstreamRecord, pause: timedelta) -> None:
        """Learn from the mean time between events of a stream that has ended."""
        streams = self._states.works.sum_running(engine.id)
        now = self._clock.monotonic()
        self._models.learn_pause(engine, streams, pause.total_seconds(), now)

    def count_samples(self, service: str) -> float:
        """Return the weight of the samples behind the model of a service's engines."""
        return self._models.count_samples(service)
