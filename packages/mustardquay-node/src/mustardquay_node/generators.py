"""Generators: keep the books from which generations are placed and admitted."""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
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
from mustardquay.peer_digests import EngineDigest, PeerDigest, PlacedPart, trim_ranks
from mustardquay.placements import Placement, choose_decoder, choose_engines
from mustardquay.rate_limits import LimitBook, Turn
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.retained_prefills import PrefillLoss, find_prefill_loss
from mustardquay.routing_tables import Route, RoutingTable
from mustardquay.uplinks import Uplink
from mustardquay.upstream_lists import UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads

from .adapters import Prefilled
from .peers import PARTS_LIMIT

__all__ = ["GenerationPlanner", "KeptReading", "Ticket"]


@dataclass(slots=True)
class Ticket:
    """A placed generation, until its prompt is read and its stream has ended."""

    placement: Placement
    parts: tuple[HashedPart, ...]
    rank: int = 0
    is_read: bool = False
    is_running: bool = False
    """Whether it holds a place at the engine that generates."""
    reader_turn: Turn | None = None
    decoder_turn: Turn | None = None
    """At the engine that generates, where another one reads."""


@dataclass(slots=True)
class KeptReading:
    """A prompt that an engine has read, until its request has ended."""

    ticket: Ticket
    prefilled: Prefilled
    is_handle_used: bool = False
    """Whether another engine may have taken the handle, which can be done once."""
    is_used: bool = False
    """Whether something was generated from it."""


class GenerationPlanner:
    """Places generations, and notes and tells what is outstanding."""

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamList,
        loads: UpstreamLoads,
        models: EngineModels | None = None,
        uplink: Uplink | None = None,
        limits: LimitBook | None = None,
        note_change: Callable[[], None] = lambda: None,
        random: Random | None = None,
    ):
        """Take `note_change`, which hears that the work to be told has changed."""
        self._random = random or Random(0)
        self._sample = make_sample(self._random, 1)
        self._clock = clock
        self._upstreams = upstreams
        self._uplink = uplink or Uplink()
        self._models = models or EngineModels()
        self._limits = limits or LimitBook()
        self._books = EngineStates(
            loads, OutstandingWork(), PrefixCaches(), self._models, limits=self._limits
        )
        self._placed: list[PlacedPart] = []
        self._changing: set[str] = set()
        self._note_change = note_change

    def choose(
        self,
        prompt: PromptTraits,
        engines: Sequence[UpstreamRecord],
        avoid: Collection[str],
        size: int = 0,
        rank: int = 0,
    ) -> Placement | None:
        """Return where a generation of `size` bytes goes now.

        Engines read it before all that has a higher `rank`.
        """
        now = self._clock.monotonic()
        self._books.works.peers.expire(now)
        parts = hash_parts(prompt.parts)
        engines = self._drop_changing(engines)
        sending = self._uplink.measure(size, now)
        return choose_engines(
            prompt,
            parts,
            engines,
            self._books,
            now,
            avoid,
            sending,
            rank,
            self._sample,
        )

    def renew_decoder(
        self, ticket: Ticket, engines: Sequence[UpstreamRecord], avoid: Collection[str]
    ) -> bool:
        """Choose anew which engine generates from a prompt that has been read.

        Guards against an engine that began to leave, or to change its stage, while
        the prompt waited to be read: after a long wait it would get a new request
        although all know that it goes. Returns False if no engine generates.
        """
        now = self._clock.monotonic()
        usable = self._drop_changing(engines)
        decoder = choose_decoder(usable, self._books, now, avoid)
        if decoder is None:
            return False
        if decoder.id != ticket.placement.decoder.id:
            if ticket.decoder_turn is not None:
                self._limits.release(ticket.decoder_turn)
            ticket.decoder_turn = self._limits.reserve(decoder, now)
        ticket.placement = replace(ticket.placement, decoder=decoder)
        return True

    def _drop_changing(
        self, engines: Sequence[UpstreamRecord]
    ) -> Sequence[UpstreamRecord]:
        changing = self._changing | self._books.works.peers.list_changing()
        return [engine for engine in engines if engine.id not in changing]

    def begin(
        self,
        prompt: PromptTraits,
        placement: Placement,
        size: int = 0,
        rank: int = 0,
    ) -> Ticket:
        """Note a placement that is carried out, of a request of `size` bytes."""
        sends = 1 if placement.prefiller is None else 2
        self._uplink.take(size * sends, self._clock.monotonic())
        reader = placement.reader.id
        self._add_reading(reader, placement.prefill_seconds, rank)
        self._models.note_placed(placement.reader.service, placement.prefill_seconds)
        parts = hash_parts(prompt.parts)
        # At once, so that the next prompts with these parts go there, too.
        self._note_parts(placement.reader, parts)
        ticket = Ticket(placement, parts, rank)
        self._reserve_turns(ticket)
        if placement.prefiller is None:
            self._take_place(ticket)
        return ticket

    def _reserve_turns(self, ticket: Ticket) -> None:
        now = self._clock.monotonic()
        placement = ticket.placement
        ticket.reader_turn = self._limits.reserve(placement.reader, now)
        if placement.prefiller is not None:
            ticket.decoder_turn = self._limits.reserve(placement.decoder, now)

    def end_reading(self, ticket: Ticket, is_handed_over: bool = False) -> None:
        """Note that the prompt has been read, or won't be.

        With `is_handed_over`, the engine that generates copies it.
        """
        if ticket.is_read:
            return
        ticket.is_read = True
        placement = ticket.placement
        self._add_reading(placement.reader.id, -placement.prefill_seconds, ticket.rank)
        if is_handed_over:
            self._note_copied(ticket)

    def find_loss(
        self,
        reading: KeptReading,
        engines: Sequence[UpstreamRecord],
        avoid: Collection[str],
    ) -> PrefillLoss | None:
        """Return why no other engine can generate from a reading; None if one can."""
        now = self._clock.monotonic()
        ticket = reading.ticket
        return find_prefill_loss(
            ticket.placement.reader,
            ticket.parts,
            self.must_copy(reading),
            self._drop_changing(engines),
            self._books,
            now,
            avoid,
        )

    def must_copy(self, reading: KeptReading) -> bool:
        """Return whether a prompt can be had from its reader's cache only.

        Its handle may have been taken, or handles of that engine lapse at once.
        """
        reader = reading.ticket.placement.reader.id
        now = self._clock.monotonic()
        is_lapsing = self._books.loads.has_expired_handles(reader, now)
        return reading.is_handle_used or is_lapsing

    def take_up(
        self,
        reading: KeptReading,
        engines: Sequence[UpstreamRecord],
        avoid: Collection[str],
    ) -> PrefillLoss | None:
        """Have another engine generate from a reading; returns why none can."""
        loss = self.find_loss(reading, engines, avoid)
        if loss is not None:
            return loss
        old = reading.ticket
        ticket = Ticket(old.placement, old.parts, old.rank, is_read=True)
        if not self.renew_decoder(ticket, engines, avoid):
            return PrefillLoss.NO_GENERATOR
        self._note_copied(ticket)
        reading.ticket = ticket
        return None

    def _note_copied(self, ticket: Ticket) -> None:
        """Note that the engine that generates copies the prompt."""
        self._note_parts(ticket.placement.decoder, ticket.parts)
        self._take_place(ticket)

    def _add_reading(self, engine: str, seconds: float, rank: int) -> None:
        self._note_change()
        outstanding = self._books.works.get(engine).seconds
        outstanding[rank] = max(outstanding[rank] + seconds, 0.0)

    def _take_place(self, ticket: Ticket) -> None:
        ticket.is_running = True
        self._note_change()
        self._books.works.get(ticket.placement.decoder.id).running += 1

    def _note_parts(self, engine: UpstreamRecord, parts: Sequence[HashedPart]) -> None:
        """Note where the parts are from now on, and tell the other gateways."""
        self._books.prefixes.note(engine.id, engine.stage, parts)
        self._placed += [PlacedPart(engine.id, *part) for part in parts]
        del self._placed[:-PARTS_LIMIT]

    def end(self, ticket: Ticket) -> None:
        """Note that the generation has ended."""
        self.end_reading(ticket)
        for turn in (ticket.reader_turn, ticket.decoder_turn):
            if turn is not None:
                self._limits.release(turn)
        if ticket.is_running:
            self._note_change()
            work = self._books.works.get(ticket.placement.decoder.id)
            work.running = max(work.running - 1, 0)

    def hear(self, digest: PeerDigest) -> None:
        """Take in what another gateway has outstanding."""
        if not self._books.works.peers.apply_digest(digest, self._clock.monotonic()):
            return
        self._models.adopt_speeds(digest.speeds, self._clock.monotonic())
        for part in digest.placed:
            engine = self._upstreams.get(part.engine)
            if engine is not None:
                hashed = ((part.part, part.tokens),)
                self._books.prefixes.note(engine.id, engine.stage, hashed)

    def note_listed(self, told: int, others: int) -> None:
        """Take in how many gateways tell this one, and how many there are besides."""
        self._books.works.peers.unreported_ratio = others / told if told else 0.0
        self._sample = make_sample(self._random, 1 + told + others)

    def list_configurations(self) -> list[int]:
        """Return the version of the configuration that each other gateway has."""
        peers = self._books.works.peers
        peers.expire(self._clock.monotonic())
        return peers.list_configurations()

    def build_digest(
        self, name: str, incarnation: int, number: int, configuration: int
    ) -> PeerDigest:
        """Return what the other gateways are told next."""
        placed, self._placed = tuple(self._placed), []
        named = {part.engine for part in placed}
        engines = tuple(
            EngineDigest(id, trim_ranks(work.seconds), work.running)
            for id, work in self._books.works.works.items()
            if work.running or any(work.seconds) or id in named
        )
        return PeerDigest(
            name,
            incarnation,
            number,
            configuration,
            engines,
            placed,
            tuple(sorted(self._changing)),
            speeds=self._models.export_speeds(),
        )

    def tell_changing(self, engines: Collection[str]) -> None:
        """Note the engines that this gateway has ordered to change their stage."""
        self._changing = set(engines)

    def count_streams(self, engine: str) -> int:
        """Return the generations that run at an engine, of all gateways."""
        return self._books.works.sum_running(engine)

    def take_held(self, engine: UpstreamRecord, parts: Sequence[PromptPart]) -> None:
        """Take in the parts that an engine says it holds."""
        self._books.prefixes.note(engine.id, engine.stage, hash_parts(parts))

    def forget(self, id: str) -> None:
        """Drop an engine that is gone or has started anew."""
        self._books.works.works.pop(id, None)
        self._books.prefixes.caches.pop(id, None)
        self._models.forget(id)

    def take_table(self, table: RoutingTable) -> None:
        """Take in what the operator declares of engines and of routes to them."""
        self._books.pauses.clear()
        self._books.pauses.update(find_pauses(table.routes))
        for service in table.services.values():
            engine = service.engine
            if engine is None:
                continue
            self._books.prefixes.capacity = engine.kv_tokens
            self._models.set_traits(
                service.name, engine.steps_per_event, engine.copy_seconds
            )

    def learn_prefill(self, ticket: Ticket, took: timedelta) -> None:
        """Take in how long another engine than the one that generates read.

        What came later may have gone before a late one: it tells nothing of the engine.
        """
        if ticket.rank >= LATE_RANK:
            return
        placement = ticket.placement
        self._models.learn_prefill(
            placement.reader,
            placement.prefill,
            placement.wait_seconds,
            took.total_seconds(),
            self._clock.monotonic(),
            placement.work_seconds,
        )

    def learn_first(self, ticket: Ticket, took: timedelta) -> None:
        """Take in how long after its start a generation had its first event."""
        placement = ticket.placement
        engine = placement.decoder
        streams = self._books.works.sum_running(engine.id)
        seconds = took.total_seconds()
        if placement.prefiller is not None:
            self._models.learn_first(engine.service, streams, seconds)
            return
        self._models.learn_combined(
            engine,
            placement.prefill,
            streams,
            seconds,
            self._clock.monotonic(),
            placement.wait_seconds,
        )

    def learn_pause(self, engine: UpstreamRecord, pause: timedelta) -> None:
        """Take in the mean time between the events of a stream that has ended."""
        streams = self._books.works.sum_running(engine.id)
        self._models.learn_pause(engine.service, streams, pause.total_seconds())

    def count_samples(self, service: str) -> float:
        """Return the readings that count in what is known of a service's engines."""
        return self._models.count_samples(service)


def find_pauses(routes: Iterable[Route]) -> dict[str, timedelta]:
    """Return the shortest of the longest pauses of the routes to each service."""
    pauses: dict[str, timedelta] = {}
    for route in routes:
        if not route.has_prompt or route.longest_pause is None:
            continue
        for backend in route.backends:
            known = pauses.get(backend.service, route.longest_pause)
            pauses[backend.service] = min(known, route.longest_pause)
    return pauses
