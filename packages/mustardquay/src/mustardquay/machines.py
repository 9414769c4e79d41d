"""Machines: the steps by which an agent brings its engine to the desired state.

One order is in flight at a time, and the next one is sent only when the last is
confirmed or the engine's real state was observed after the last can have had an
effect. The machine has no I/O; its caller carries out the steps it decides on.
"""

from datetime import timedelta
from enum import Enum, StrEnum

from .orders import EngineState, Order, OrderRow, matches_desired

__all__ = ["OrderAnswer", "OrderMachine", "Step"]

ZERO = timedelta()


class Step(Enum):
    """What the caller of the machine is to do next."""

    CLAIM = "claim"
    """Write the claim row, then call `claim`."""
    DRAIN = "drain"
    """Let the work that runs finish."""
    REREAD = "reread"
    """Read the order row and the claim row, then call `reread`."""
    SEND = "send"
    """Send the order from `begin_order`, then call `end_order`."""
    WAIT = "wait"
    """Do nothing until the engine was observed again."""
    STOP = "stop"
    """Another agent has the engine: give it no orders any more."""


class OrderAnswer(StrEnum):
    """What became of an order that was sent."""

    ACCEPTED = "accepted"
    BUSY = "busy"
    STALE = "stale"
    LOST = "lost"


class OrderMachine:
    """The steps of one agent.

    `fencing` says whether the engine refuses an order with an old fencing number.
    `longest_order` bounds the time in which an engine carries out an order.
    `permit` bounds the time from the start of a reread to the moment at which the
    engine has the order or never gets it; the caller abandons a slower call.
    """

    def __init__(self, fencing: bool, longest_order: timedelta, permit: timedelta):
        self._fencing = fencing
        self._longest_order = longest_order
        self._permit = permit
        self._incarnation = 0
        self._settled_at = ZERO
        self._superseded = False
        self._row: OrderRow | None = None
        self._row_read = False
        self._reread_at: timedelta | None = None
        self._store_up = True
        self._state: EngineState | None = None
        self._asked_at = ZERO
        self._reached_boot = ""
        self._order: Order | None = None
        self._sent_at = ZERO
        self._sent_over = 0
        self._accepted = False

    @property
    def incarnation(self) -> int:
        """Return the revision of the claim row, 0 before it was written."""
        return self._incarnation

    @property
    def state(self) -> EngineState | None:
        """Return the state that was last observed, or None when it is unknown."""
        return self._state

    @property
    def row(self) -> OrderRow | None:
        """Return the newest order row that was read."""
        return self._row

    @property
    def superseded(self) -> bool:
        """Return whether another agent has claimed the engine."""
        return self._superseded

    @property
    def reached(self) -> bool:
        """Return whether the engine is settled and what the order row asks for."""
        if not self._is_settled() or not self._row_read:
            return False
        return self._row is None or matches_desired(self._state, self._row.desired)

    @property
    def ready(self) -> bool:
        """Return whether the engine may get requests."""
        if self._superseded or not self._is_settled():
            return False
        if self._row is not None and not self._row.desired.serving:
            return False
        if not self._incarnation or not self._row_read:
            # The store is out of reach since this agent started. An engine that
            # has carried out an order is in a known state and goes on serving.
            return self._state.generation > 0
        if self._asked_at < self._settled_at:
            return False
        if self.reached:
            return True
        # An order was announced, and the store went down before it was reread. It
        # can't be given now, so the engine serves as it did before.
        return not self._store_up and self._state.boot == self._reached_boot

    def claim(self, incarnation: int, now: timedelta) -> None:
        """Take in that the claim row was written at this revision."""
        self._incarnation = incarnation
        # The agent before this one may have read the rows just before the claim,
        # and its order arrives within the permit. An engine that refuses old
        # fencing numbers has not seen ours yet, so this holds for both kinds.
        self._settled_at = now + self._permit if incarnation > 1 else now

    def note_store(self, available: bool) -> None:
        """Take in whether the store answers."""
        self._store_up = available

    def note_row(self, row: OrderRow | None) -> None:
        """Take in the order row as it was read; an older one is ignored."""
        self._row_read = True
        if row is None:
            return
        if self._row is None or row.generation > self._row.generation:
            self._row = row

    def reread(self, row: OrderRow | None, claim: int, started: timedelta) -> None:
        """Take in both rows read for an order; `started` is before the reading."""
        self.note_row(row)
        if claim == self._incarnation:
            self._reread_at = started
        else:
            # Another agent claimed the engine while this one was paused or cut
            # off: an order from here could run into one of its orders.
            self._superseded = True

    def observe(self, state: EngineState | None, asked_at: timedelta) -> None:
        """Take in the engine's answer, or None when it gave none."""
        self._state = state
        if state is None:
            return
        self._asked_at = asked_at
        if self._fencing and self._incarnation and state.fence > self._incarnation:
            self._superseded = True
        if self._order is not None and self._is_over(state, asked_at):
            self._order = None
        if self.reached:
            self._reached_boot = state.boot

    def decide(self, now: timedelta, idle: bool = True) -> Step:
        """Return the next step; `idle` says that no request runs on the engine."""
        if self._superseded:
            return Step.STOP
        if not self._incarnation:
            return Step.CLAIM
        if not self._row_read:
            return Step.REREAD
        if not self._is_settled() or self.reached or not self._is_quiet():
            return Step.WAIT
        if not idle:
            return Step.DRAIN
        if self.get_permit(now) > ZERO:
            return Step.SEND
        return Step.REREAD

    def get_permit(self, now: timedelta) -> timedelta:
        """Return the time that is left for sending an order."""
        if self._reread_at is None:
            return ZERO
        return max(self._reread_at + self._permit - now, ZERO)

    def begin_order(self, now: timedelta, idle: bool = True) -> Order | None:
        """Return the order to send at once, or None if its time is over.

        A process that was paused since the reread gets None and reads again. The
        caller gives the call at most `get_permit(now)`.
        """
        if self.decide(now, idle) is not Step.SEND:
            return None
        self._order = Order(self._incarnation, self._row.generation, self._row.desired)
        self._sent_at = now
        self._sent_over = self._state.generation
        self._accepted = False
        return self._order

    def end_order(self, answer: OrderAnswer, now: timedelta) -> None:
        """Take in what became of the order."""
        self._reread_at = None
        if answer is OrderAnswer.ACCEPTED:
            self._accepted = True
            self._sent_at = now
        elif answer is not OrderAnswer.LOST:
            self._order = None
            self._state = None
            self._superseded = answer is OrderAnswer.STALE

    def _is_settled(self) -> bool:
        if self._state is None or self._order is not None:
            return False
        return not self._state.changing

    def _is_over(self, state: EngineState, asked_at: timedelta) -> bool:
        if state.changing or asked_at <= self._sent_at:
            return False
        if self._accepted:
            # Carried out, or lost in a crash of the engine: it can't come again.
            return True
        generation = self._order.generation
        if state.generation == generation and self._sent_over != generation:
            return True
        # The answer was lost, and perhaps the order with it. It may still be under
        # way, so the state counts only when it was asked for after the permit.
        return asked_at >= self._sent_at + self._permit

    def _is_quiet(self) -> bool:
        # The longest order on top guards against an engine of the kind that
        # ignores fencing numbers and shows too late that it is changing.
        if self._fencing:
            return self._asked_at >= self._settled_at
        if self._incarnation == 1:
            return True
        return self._asked_at >= self._settled_at + self._longest_order
