"""Generators: keep the books from which generations are placed."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from mustardquay.clocks import Clock
from mustardquay.placements import (
    EngineSpeeds,
    Placement,
    PrefixBook,
    WorkBook,
    choose_engines,
)
from mustardquay.requests import PromptTraits
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_loads import LoadBook

__all__ = ["GenerationPlanner", "Ticket"]


@dataclass(slots=True)
class Ticket:
    """A placed generation, until its prompt is read and its stream has ended."""

    placement: Placement
    is_read: bool = False


class GenerationPlanner:
    """Places generations and notes what is outstanding."""

    def __init__(
        self,
        clock: Clock,
        loads: LoadBook,
        availability_zone: str,
        speeds: EngineSpeeds | None = None,
    ):
        self._clock = clock
        self._loads = loads
        self._availability_zone = availability_zone
        self._speeds = speeds or EngineSpeeds()
        self._works = WorkBook()
        self._prefixes = PrefixBook()

    def choose(
        self,
        prompt: PromptTraits,
        engines: Sequence[UpstreamRecord],
        avoid: Collection[str],
    ) -> Placement | None:
        """Return where a generation goes now."""
        return choose_engines(
            prompt,
            engines,
            self._loads,
            self._works,
            self._prefixes,
            self._speeds,
            self._clock.monotonic(),
            self._availability_zone,
            avoid,
        )

    def begin(self, prompt: PromptTraits, placement: Placement) -> Ticket:
        """Note a placement that is carried out."""
        reader = placement.prefiller or placement.decoder
        self._works.get(reader.id).seconds += placement.read_seconds
        self._works.get(placement.decoder.id).running += 1
        self._prefixes.note(reader.id, prompt.parts, self._clock.monotonic())
        return Ticket(placement)

    def end_reading(self, ticket: Ticket) -> None:
        """Note that the prompt has been read, or won't be."""
        if ticket.is_read:
            return
        ticket.is_read = True
        placement = ticket.placement
        reader = placement.prefiller or placement.decoder
        work = self._works.get(reader.id)
        work.seconds = max(work.seconds - placement.read_seconds, 0.0)

    def end(self, ticket: Ticket) -> None:
        """Note that the generation has ended."""
        self.end_reading(ticket)
        self._works.get(ticket.placement.decoder.id).running -= 1

    def forget(self, id: str) -> None:
        """Drop an engine that is gone."""
        self._works.works.pop(id, None)
