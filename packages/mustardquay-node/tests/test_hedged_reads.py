"""Hedged reads of the store, in virtual time."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

import pytest

from mustardquay.errors import StoreUnavailable
from mustardquay_node.hedged_reads import (
    HEDGE_DELAY,
    MAX_READS,
    HedgeCallbacks,
    HedgedRead,
)
from mustardquay_standins.virtual_loops import LoopClock, VirtualLoop

HOLD = timedelta(seconds=2)
NEVER = 1e6
"""Seconds; longer than any test."""


@dataclass
class Script:
    """Behaviour of the store for one read."""

    moves: tuple[float, ...] = ()
    """When bytes arrive, in seconds since the start of the read."""
    ends: float = NEVER
    fails: bool = False


@dataclass
class Trial:
    """A hedged read by scripts, and its result."""

    scripts: list[Script]
    begun: list[float] = field(default_factory=list)
    options: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    silences: int = 0
    won_at: float | None = None
    winner: int | None = None

    def run(self, hold=HOLD, change_at=None, delay=HEDGE_DELAY):
        loop = VirtualLoop()
        self.loop = loop
        read = HedgedRead(self.open_read, LoopClock(loop), self.observe(), delay)
        if change_at is not None:
            loop.call_later(change_at, read.note_change)
        try:
            self.winner = loop.run_until_complete(read.run(hold))
            self.won_at = round(loop.time(), 2)
        finally:
            loop.close()
        return self

    def observe(self):
        def note_silence():
            self.silences += 1

        return HedgeCallbacks(note_silence, self.ended.append)

    async def open_read(self, is_first, options):
        number = len(self.begun)
        script = self.scripts[number]
        self.begun.append(round(self.loop.time(), 2))
        self.options.append(options)
        begun = self.loop.time()
        for at in script.moves:
            await asyncio.sleep(begun + at - self.loop.time())
            options.note_bytes(1000)
        await asyncio.sleep(begun + script.ends - self.loop.time())
        if script.fails:
            raise StoreUnavailable("The store does not answer; try again later.")
        return number


def steps(until, step=0.2):
    return tuple(step * number for number in range(1, int(until / step) + 1))


def test_a_read_that_receives_bytes_gets_no_hedge_however_long_it_takes():
    """Guards against a large row whose read is restarted before its end."""
    trial = Trial([Script(steps(9), 9.1)]).run(change_at=0.1)
    assert (trial.won_at, trial.begun, trial.ended) == (9.1, [0.0], [])


def test_a_read_that_is_silent_despite_a_change_gets_a_hedge():
    """Guards against a dead connection that was not closed."""
    trial = Trial([Script(), Script(ends=0.05)]).run(change_at=1.0)
    assert (trial.begun, trial.winner, trial.won_at) == ([0.0, 1.3], 1, 1.35)
    assert trial.options[1].on_new_connection
    assert trial.silences == 0


def test_a_read_that_is_held_for_too_long_gets_a_hedge():
    """Guards against a dead connection of a gateway that has no peers."""
    trial = Trial([Script(), Script(ends=0.05)]).run()
    assert (trial.begun, trial.winner) == ([0.0, 2.8], 1)
    assert trial.silences == 1


def test_a_read_with_a_short_limit_gets_an_early_hedge_and_loses_no_store():
    """Guards against a store that counts as lost because it is slow for a moment."""
    delay = timedelta(milliseconds=400)
    trial = Trial([Script(), Script(ends=0.05)]).run(delay=delay)
    assert (trial.begun, trial.winner, trial.silences) == ([0.0, 2.4], 1, 0)
    trial = Trial([Script(), Script(), Script(ends=0.05)]).run(delay=delay)
    assert (trial.begun, trial.silences) == ([0.0, 2.4, 2.8], 1)


def test_a_read_that_stalls_gets_a_hedge():
    """Guards against a connection that stalls in the middle of a large row."""
    trial = Trial([Script((0.1, 0.2)), Script(ends=0.1)]).run(change_at=0.0)
    assert (trial.begun, trial.winner) == ([0.0, 0.8], 1)


def test_the_first_read_wins_over_its_hedge():
    """Guards against a slow store whose answers are all abandoned for new calls."""
    trial = Trial([Script(ends=1.6), Script(ends=1.6), Script(ends=1.6)])
    trial.run(timedelta(), change_at=0.0)
    assert (trial.winner, trial.won_at) == (0, 1.6)
    assert [each.reason for each in trial.ended] == ["another_won"] * 2


def test_a_read_without_a_byte_is_cancelled_when_another_receives_some():
    """Guards against a slow link that transfers the same megabyte twice."""
    scripts = [Script(steps(2, 0.5), 2.1), Script(ends=NEVER)]
    trial = Trial(scripts).run(timedelta(), change_at=0.0)
    assert (trial.winner, trial.won_at) == (0, 2.1)
    assert [(each.reason, each.bytes) for each in trial.ended] == [("outrun", 0)]


def test_reads_beside_a_silent_store_are_bounded():
    """Guards against a store that is overloaded by calls as it recovers."""
    scripts = [Script(ends=9, fails=True) for _ in range(MAX_READS)]
    trial = Trial([*scripts, Script(ends=0.1)]).run(timedelta())
    assert trial.begun == [0.0, 0.8, 1.6, 2.4, 9.0]


def test_the_error_is_raised_once_no_read_is_left():
    scripts = [Script(ends=0.5, fails=True)]
    with pytest.raises(StoreUnavailable):
        Trial(scripts).run(timedelta())


def test_a_read_that_fails_does_not_end_the_others():
    """Guards against a restart after the oldest of several reads has failed."""
    scripts = [Script(ends=1.0, fails=True), Script(ends=1.0)]
    trial = Trial(scripts).run(timedelta())
    assert (trial.winner, trial.won_at) == (1, 1.8)
    assert "StoreUnavailable" in trial.ended[0].reason


def test_reads_that_fail_at_once_are_not_restarted_in_a_row():
    """Guards against thousands of calls while the first read hangs."""
    scripts = [Script(ends=3.0), *[Script(ends=0.0, fails=True) for _ in range(5)]]
    trial = Trial(scripts).run(timedelta())
    assert trial.begun == [0.0, 0.8, 1.6, 2.4]
