"""The load of engines of different speed, and what becomes of its requests."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from statistics import median

from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.routing_tables import Backend, Repeat, Route
from mustardquay.upstream_lists import Stage, UpstreamRecord
from mustardquay_node.generation_planners import GenerationPlanner

__all__ = [
    "BRIEF",
    "EVENT_SECONDS",
    "HALF_TURN",
    "MIN_EXPECTED",
    "MIN_TIME_LEFT",
    "NETWORK_DELAY",
    "RATES",
    "SLOWDOWN",
    "SPELL",
    "SPELL_FACTOR",
    "SPELL_SHARE",
    "STEPS",
    "SWING",
    "TOKEN_SECONDS",
    "VERDICT",
    "WARM_UP",
    "Caller",
    "Load",
    "Result",
    "SimulatedEngine",
    "draw_prompt",
]

SHARED, OWN = 6_300, 2_890
DOCUMENTS = 40
TOKEN_SECONDS = 1 / 305_000
STEPS = 86
"""Decode steps from one event to the next."""
EVENT_SECONDS = STEPS * 0.000_554
SLOWDOWN = 2.0
"""Factor by which a prefill takes longer on an engine that also generates."""
SPELL, SPELL_FACTOR, SPELL_SHARE = 0.6, 2.5, 0.15
"""Mean seconds of a slow spell, its factor, and the share of time in spells."""
HALF_TURN = 2.8
"""Seconds after which the mix turns over."""
SWING = 0.5
"""Share by which each kind exceeds its mean in its half of a turn."""
NETWORK_DELAY = 0.008
MIN_TIME_LEFT = timedelta(milliseconds=50)
"""Time left with which callers give up; delays shrink with it."""
MIN_EXPECTED = 0.001
"""Least expected seconds of a prefill that a ratio is taken of."""
WARM_UP = 3.0
"""Seconds whose requests aren't counted: coefficients start from their priors."""


def _make_route(name: str, priority: int, target: float, timeout: float) -> Route:
    return Route(
        name,
        "h",
        f"/{name}",
        Repeat.STREAM,
        (Backend("llm", 1),),
        timedelta(seconds=timeout),
        timedelta(seconds=target),
        priority,
        has_prompt=True,
        longest_pause=timedelta(milliseconds=150),
    )


VERDICT = _make_route("verdict", 0, 0.235, 2.353)
BRIEF = _make_route("brief", 1, 0.134, 16.716)
RATES = {"verdict": 240.0, "brief": 11.0}


@dataclass(frozen=True, slots=True)
class Load:
    """What is played, and how gateways decide."""

    gateways: int = 28
    engines: int = 27
    decoders: int = 8
    slots: int = 12
    rate: float = 1.0
    """Requests relative to the usual rates."""
    seconds: float = 9.0
    load_reports: bool = True
    sends_reports: bool = True
    lost_digests: float = 0.0
    """Share of the digests that are lost."""
    seed: int = 1


@dataclass(slots=True)
class Caller:
    """One request and what became of it."""

    arrived_at: float
    route: Route
    prompt: PromptTraits
    gateway: int
    admitted_at: float | None = None
    expected: float = 0.0
    was_late: bool = False
    first_after: float | None = None
    longest_pause: float = 0.0
    events: int = 1

    @property
    def is_on_time(self) -> bool:
        """Return whether the first event met the target and no pause was too long."""
        target = self.route.latency_target.total_seconds()
        longest = self.route.longest_pause.total_seconds()
        has_paused = self.longest_pause > longest
        return (
            self.first_after is not None
            and self.first_after <= target - 0.01
            and (not has_paused)
        )


@dataclass(slots=True)
class Result:
    """The requests of a play, and the ratios of measured to expected prefill times."""

    callers: list[Caller]
    ratios: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    prefills: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    planners: list[GenerationPlanner] = field(default_factory=list)
    records: list[UpstreamRecord] = field(default_factory=list)
    now: timedelta = timedelta()

    def share_on_time(self, kind: str) -> float:
        """Return the share of a kind's requests that were answered on time."""
        counted = self._list_counted(kind)
        return sum(each.is_on_time for each in counted) / max(len(counted), 1)

    def share_served(self, kind: str) -> float:
        """Return the share of a kind's requests that were answered."""
        counted = self._list_counted(kind)
        served = sum(each.first_after is not None for each in counted)
        return served / max(len(counted), 1)

    def share_kept(self, kind: str) -> float:
        """Return the share on time of those that were admitted as on time."""
        admitted = [
            each
            for each in self._list_counted(kind)
            if each.admitted_at is not None and not each.was_late
        ]
        return sum(each.is_on_time for each in admitted) / max(len(admitted), 1)

    def list_medians(self, stage: Stage) -> list[float]:
        """Return the median ratio of measured to expected time of each engine."""
        ids = [each.id for each in self.records if each.stage is stage]
        ratios = [self.ratios[id] for id in ids if len(self.ratios[id]) >= 8]
        return sorted(map(median, ratios))

    def find_quantiles(self) -> tuple[float, float, float]:
        """Return the ratio at p10, p50 and p90 over all prefills."""
        ratios = sorted(each for values in self.ratios.values() for each in values)
        return tuple(ratios[int(len(ratios) * share)] for share in (0.1, 0.5, 0.9))

    def describe(self) -> str:
        """Return the figures of all kinds on one line."""
        medians = self.list_medians(Stage.PREFILL)
        quantiles = [round(each, 2) for each in self.find_quantiles()]
        kinds = " ".join(
            f"{kind}: on time {self.share_on_time(kind):.3f}"
            f" kept {self.share_kept(kind):.3f} served {self.share_served(kind):.3f}"
            for kind in RATES
        )
        engines = f"{medians[0]:.2f} {medians[-1]:.2f}"
        return f"ratio p10 p50 p90 {quantiles} engines {engines} {kinds}"

    def _list_counted(self, kind: str) -> list[Caller]:
        return [
            each
            for each in self.callers
            if each.route.name == kind and each.arrived_at >= WARM_UP
        ]


class SimulatedEngine:
    """Prefills one prompt at a time by rank, and decodes in its slots."""

    def __init__(
        self, record: UpstreamRecord, speed: float, random: Random, end: float
    ):
        self.record = record
        self.speed = speed
        self.waiting: list = []
        self.is_busy = False
        self.cached: set[str] = set()
        self.prefilled = 0.0
        """Seconds spent on prefill so far."""
        self.running = 0
        self.queue: list[Callable[[], None]] = []
        self._spells: list[tuple[float, float]] = []
        at = 0.0
        while at < end + 20:
            begin = at + random.expovariate(SPELL_SHARE / SPELL / (1 - SPELL_SHARE))
            at = begin + random.expovariate(1 / SPELL)
            self._spells.append((begin, at))

    def find_factor(self, at: float) -> float:
        """Return the current factor."""
        is_slow = any(begin <= at < end for begin, end in self._spells)
        return SPELL_FACTOR if is_slow else 1.0


def draw_prompt(route: Route, random: Random) -> PromptTraits:
    if route is BRIEF:
        shared = PromptPart(f"s{random.randrange(8)}", 79)
        own = PromptPart(str(random.random()), 141)
        return PromptTraits("m", 220, 72, (shared, own))
    document = min(int(random.expovariate(8 / DOCUMENTS)), DOCUMENTS - 1)
    tokens = min(int(OWN * random.lognormvariate(-0.5, 1.0)) + 1, 39_600)
    parts = (
        PromptPart(f"d{document}", SHARED),
        PromptPart(str(random.random()), tokens),
    )
    return PromptTraits("m", SHARED + tokens, 1, parts)
