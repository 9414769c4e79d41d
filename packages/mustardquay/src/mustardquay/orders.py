"""Orders: the desired state of each engine, as rows of tables.

An order row is declarative: it holds the state an engine should have, not the steps
to reach it. After any crash the agent observes the engine and continues from there.
The keys of a control domain's rows have a common prefix. The module
`order_state_machine` decides how an agent reaches the desired state.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .works import Role

__all__ = [
    "ENGINE_CLAIMS",
    "ORDERS",
    "ENGINE_REPORTS",
    "Claim",
    "Desired",
    "EngineReport",
    "EngineState",
    "Order",
    "OrderRow",
    "matches_desired",
    "build_engine_key",
]

ORDERS = "orders"
ENGINE_CLAIMS = "engine_claims"
ENGINE_REPORTS = "engine_reports"


@dataclass(frozen=True, slots=True)
class Claim:
    """An engine's row in `engine_claims`: the agent that may send it orders.

    The revision of the row is the agent's incarnation and the fencing number of its
    orders.
    """

    agent: str
    """Unique for each start of the process."""


@dataclass(frozen=True, slots=True)
class Desired:
    """The desired state of an engine."""

    role: Role = Role.MIXED
    models: Mapping[str, str] = field(default_factory=dict)
    """Version by model."""
    adapters: tuple[str, ...] = ()
    serving: bool = True
    """False while the engine is drained."""


@dataclass(frozen=True, slots=True)
class OrderRow:
    """An engine's row in `orders`, written by the holder of the domain's lease."""

    generation: int
    """Rises with each write."""
    desired: Desired
    cause: str = ""
    """Planned change, release or decision that caused the write."""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's row in `engine_reports`, written by its agent when it changes."""

    generation: int
    """Generation of the order row last reached; 0 before the first."""
    ready: bool
    """Whether the engine may get requests."""
    empty: bool = False
    """Whether the engine is drained and no request runs."""
    role: Role = Role.MIXED
    models: Mapping[str, str] = field(default_factory=dict)
    adapters: tuple[str, ...] = ()
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports."""

    boot: str
    """Changes each time the engine starts."""
    generation: int
    """Generation of the last order carried out since the start, or 0."""
    role: Role
    models: Mapping[str, str]
    adapters: tuple[str, ...] = ()
    changing: bool = False
    """Whether an order is being carried out."""
    fence: int = 0
    """Highest fencing number seen."""


@dataclass(frozen=True, slots=True)
class Order:
    """An order as it is sent to an engine."""

    fence: int
    generation: int
    desired: Desired


def build_engine_key(domain: str, upstream: str) -> str:
    """Return the key of an engine's rows.

    >>> build_engine_key("linz", "runner-1")
    'linz/runner-1'
    """
    return f"{domain}/{upstream}"


def matches_desired(state: EngineState, desired: Desired) -> bool:
    """Return whether the engine has the desired role, models and adapters."""
    return (
        state.role == desired.role
        and dict(state.models) == dict(desired.models)
        and set(state.adapters) == set(desired.adapters)
    )
