"""Instances: a stand-in for the platform's list of instances, which lags."""

from collections import deque
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from datetime import timedelta

from mustardquay import Clock

from .servers import Call, Route, StandinServer

__all__ = ["Instance", "InstanceCounters", "InstanceFaults", "InstanceStandin"]


@dataclass(frozen=True, slots=True)
class Instance:
    """One item of the list."""

    name: str
    kind: str
    """`entry` or `agent`."""
    address: str
    port: int
    """Of the internal link; 0 for an entry."""
    availability_zone: str
    state: str = "live"
    """`live` or `leaving`."""


@dataclass(slots=True)
class InstanceFaults:
    """Fault switches of the instance list."""

    down: bool = False
    lag: timedelta = timedelta()
    """Age of the list that callers get."""


@dataclass(slots=True)
class InstanceCounters:
    """Counters of the instance list."""

    reads: int = 0
    """Including those that were refused."""


class InstanceStandin(StandinServer):
    """The instance list over HTTP; keeps earlier lists to simulate the lag."""

    faults: InstanceFaults
    counters: InstanceCounters

    def __init__(self, clock: Clock | None = None, seed: int = 0):
        super().__init__(InstanceFaults(), InstanceCounters(), clock, seed)
        self._history: deque[tuple[timedelta, tuple[Instance, ...]]] = deque(
            [(timedelta.min, ())], maxlen=1000
        )

    @property
    def instances(self) -> tuple[Instance, ...]:
        """Return the current list, without lag."""
        return self._history[-1][1]

    def list_routes(self) -> tuple[Route, ...]:
        """Return the routes of the instance list."""
        return (
            Route("GET", "/instances", self._list),
            Route("PUT", "/instances", self._replace),
        )

    def set_instances(self, instances: Sequence[Instance]) -> None:
        """Replace the list; callers see it once the lag has passed."""
        self._history.append((self._clock.monotonic(), tuple(instances)))

    def set_state(self, name: str, state: str) -> None:
        """Change the state of one instance, such as to `leaving`."""
        changed = [
            Instance(**(asdict(instance) | {"state": state}))
            if instance.name == name
            else instance
            for instance in self.instances
        ]
        self.set_instances(changed)

    def remove(self, name: str) -> None:
        """Remove one instance from the list."""
        self.set_instances([one for one in self.instances if one.name != name])

    async def _list(self, call: Call) -> None:
        self.counters.reads += 1
        if self.faults.down:
            call.answer(503, {"error": "the instance list is down"})
            return
        instances = self._find_list(self._clock.monotonic() - self.faults.lag)
        call.answer(200, {"instances": [asdict(one) for one in instances]})

    async def _replace(self, call: Call) -> None:
        self.set_instances([Instance(**one) for one in call.parse()["instances"]])
        call.answer(204)

    def _find_list(self, instant: timedelta) -> tuple[Instance, ...]:
        for since, instances in reversed(self._history):
            if since <= instant:
                return instances
        return ()
