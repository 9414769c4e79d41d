"""State machine by which an agent brings its engine to the desired state.

One order is in flight at a time. The next one is sent only when the last is
confirmed, or when the engine's actual state was observed after the last order could
still have taken effect. The state machine does no I/O: its caller carries out the
steps that it decides on.
"""

from datetime import timedelta
from enum import Enum, StrEnum

from .orders import EngineState, Order, OrderRow, matches_desired

__all__ = ["OrderResult", "OrderStateMachine", "Step"]

ZERO = timedelta()


class Step(Enum):
    """What the caller of the state machine has to do next."""

    CLAIM = "claim"
    """Write the claim row, then call `claim`."""
    DRAIN = "drain"
    """Let the running work finish."""
    REREAD = "reread"
    """Read the order row and the claim row, then call `reread`."""
    SEND = "send"
    """Send the order from `begin_order`, then call `end_order`."""
    WAIT = "wait"
    """Do nothing until the engine has been observed again."""
    STOP = "stop"
    """Another agent has claimed the engine: send it no more orders."""


class OrderResult(StrEnum):
    """The result of sending an order."""

    ACCEPTED = "accepted"
    BUSY = "busy"
    STALE = "stale"
    LOST = "lost"


class OrderStateMachine:
    """Decides the steps of one agent.

    `fencing` says whether the engine refuses an order with an old fencing number.
    `max_order_duration` is the maximum time in which an engine carries out an order.
    `send_window` is the maximum time from the start of a reread until the engine
    either has the order or will never get it; the caller cancels a slower call.
    """

    def __init__(
        self, fencing: bool, max_order_duration: timedelta, send_window: timedelta
    ):
        self._fencing = fencing
        self._max_order_duration = max_order_duration
        self._send_window = send_window
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
        """Return the revision of the claim row, 0 until it has been written."""
        return self._incarnation

    @property
    def state(self) -> EngineState | None:
        """Return the state last observed, or None if it is unknown."""
        return self._state

    @property
    def row(self) -> OrderRow | None:
        """Return the newest order row read."""
        return self._row

    @property
    def superseded(self) -> bool:
        """Return whether another agent has claimed the engine."""
        return self._superseded

    @property
    def reached(self) -> bool:
        """Return whether the engine is stable and matches the order row."""
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
            # The store has been unreachable since this agent started. An engine that
            # has carried out an order is in a known state and continues to serve.
            return self._state.generation > 0
        if self._asked_at < self._settled_at:
            return False
        if self.reached:
            return True
        # A new order row was read, and the store failed before the reread. The order
        # can't be sent now, so the engine serves as before.
        return not self._store_up and self._state.boot == self._reached_boot

    def claim(self, incarnation: int, now: timedelta) -> None:
        """Record that the claim row was written with this revision."""
        self._incarnation = incarnation
        # The previous agent may have read the rows just before the claim, and its
        # order can still arrive within the send window. This applies to both kinds
        # of engine: one that checks fencing numbers has not received ours yet.
        self._settled_at = now + self._send_window if incarnation > 1 else now

    def note_store(self, available: bool) -> None:
        """Record whether the store answers."""
        self._store_up = available

    def note_row(self, row: OrderRow | None) -> None:
        """Record an order row that was read; an older one is ignored."""
        self._row_read = True
        if row is None:
            return
        if self._row is None or row.generation > self._row.generation:
            self._row = row

    def reread(self, row: OrderRow | None, claim: int, started: timedelta) -> None:
        """Record both rows as reread for an order; `started` is when that began."""
        self.note_row(row)
        if claim == self._incarnation:
            self._reread_at = started
        else:
            # Another agent claimed the engine while this one was paused or partitioned
            # from the store: an order from here could conflict with one of its orders.
            self._superseded = True

    def observe(self, state: EngineState | None, asked_at: timedelta) -> None:
        """Record the state that the engine reported, None if it did not answer."""
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
        """Return the next step; `idle` means that no request runs on the engine."""
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
        if self.get_send_window(now) > ZERO:
            return Step.SEND
        return Step.REREAD

    def get_send_window(self, now: timedelta) -> timedelta:
        """Return the time left for sending an order."""
        if self._reread_at is None:
            return ZERO
        return max(self._reread_at + self._send_window - now, ZERO)

    def begin_order(self, now: timedelta, idle: bool = True) -> Order | None:
        """Return the order to send at once, or None if the send window is over.

        A process that was paused after the reread gets None and rereads the rows. The
        caller limits the call to `get_send_window(now)`.
        """
        if self.decide(now, idle) is not Step.SEND:
            return None
        self._order = Order(self._incarnation, self._row.generation, self._row.desired)
        self._sent_at = now
        self._sent_over = self._state.generation
        self._accepted = False
        return self._order

    def end_order(self, answer: OrderResult, now: timedelta) -> None:
        """Record the result of sending the order."""
        self._reread_at = None
        if answer is OrderResult.ACCEPTED:
            self._accepted = True
            self._sent_at = now
        elif answer is not OrderResult.LOST:
            self._order = None
            self._state = None
            self._superseded = answer is OrderResult.STALE

    def _is_settled(self) -> bool:
        if self._state is None or self._order is not None:
            return False
        return not self._state.changing

    def _is_over(self, state: EngineState, asked_at: timedelta) -> bool:
        if state.changing or asked_at <= self._sent_at:
            return False
        if self._accepted:
            # Carried out, or lost in a crash of the engine: it can't take effect later.
            return True
        generation = self._order.generation
        if state.generation == generation and self._sent_over != generation:
            return True
        # The answer was lost, and possibly the order too. The order may still be in
        # flight, so only a state requested after the send window is conclusive.
        return asked_at >= self._sent_at + self._send_window

    def _is_quiet(self) -> bool:
        # An engine that ignores fencing numbers may be late to report that it is
        # carrying out an order, so the time of the longest order is added.
        if self._fencing:
            return self._asked_at >= self._settled_at
        if self._incarnation == 1:
            return True
        return self._asked_at >= self._settled_at + self._max_order_duration
