"""Races between reads of the store, in virtual time."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

import pytest

from mustardquay.errors import StoreUnavailable
from mustardquay_node.hedged_reads import MAX_READS, HedgeCallbacks, HedgedRead
from mustardquay_standins.virtual_loops import LoopClock, VirtualLoop

HOLD = timedelta(seconds=2)
NEVER = 1e6
"""Seconds; longer than any test."""


@dataclass
class Script:
    """What the store does with one read."""

    moves: tuple[float, ...] = ()
    """When bytes come, in seconds from the read's beginning."""
    ends: float = NEVER
    fails: bool = False


@dataclass
class Course:
    """A race by scripts, and what came of it."""

    scripts: list[Script]
    begun: list[float] = field(default_factory=list)
    options: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    silences: int = 0
    won_at: float | None = None
    winner: int | None = None

    def run(self, hold=HOLD, news_at=None):
        loop = VirtualLoop()
        self.loop = loop
        race = HedgedRead(self.open_read, LoopClock(loop), self.observe())
        if news_at is not None:
            loop.call_later(news_at, race.note_change)
        try:
            self.winner = loop.run_until_complete(race.run(hold))
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


def test_a_read_that_moves_bytes_is_left_alone_however_long_it_takes():
    """Guards against a large row that is begun anew before it is whole."""
    course = Course([Script(steps(9), 9.1)]).run(news_at=0.1)
    assert (course.won_at, course.begun, course.ended) == (9.1, [0.0], [])


def test_a_read_that_is_silent_although_there_is_news_gets_another_beside_it():
    """Guards against a connection that went silent without being closed."""
    course = Course([Script(), Script(ends=0.05)]).run(news_at=1.0)
    assert (course.begun, course.winner, course.won_at) == ([0.0, 1.3], 1, 1.35)
    assert course.options[1].on_new_connection
    assert course.silences == 0


def test_a_read_that_is_held_for_too_long_gets_another_beside_it():
    """Guards against a silent connection of a gateway that has no peers."""
    course = Course([Script(), Script(ends=0.05)]).run()
    assert (course.begun, course.winner) == ([0.0, 2.8], 1)
    assert course.silences == 1


def test_a_read_that_stops_in_its_middle_gets_another_beside_it():
    """Guards against a connection that goes silent while it carries a large row."""
    course = Course([Script((0.1, 0.2)), Script(ends=0.1)]).run(news_at=0.0)
    assert (course.begun, course.winner) == ([0.0, 0.8], 1)


def test_the_first_read_wins_over_one_begun_beside_it():
    """Guards against a slow store whose every answer is given up for a new call."""
    course = Course([Script(ends=1.6), Script(ends=1.6), Script(ends=1.6)])
    course.run(timedelta(), news_at=0.0)
    assert (course.winner, course.won_at) == (0, 1.6)
    assert [each.reason for each in course.ended] == ["another_won"] * 2


def test_a_read_without_a_byte_ends_once_another_gets_on():
    """Guards against a narrow link that carries the same megabyte twice."""
    scripts = [Script(steps(2, 0.5), 2.1), Script(ends=NEVER)]
    course = Course(scripts).run(timedelta(), news_at=0.0)
    assert (course.winner, course.won_at) == (0, 2.1)
    assert [(each.reason, each.bytes) for each in course.ended] == [("outrun", 0)]


def test_reads_beside_a_silent_store_are_bounded():
    """Guards against a store that returns from an outage to a crowd of calls."""
    scripts = [Script(ends=9, fails=True) for _ in range(MAX_READS)]
    course = Course([*scripts, Script(ends=0.1)]).run(timedelta())
    assert course.begun == [0.0, 0.8, 1.6, 2.4, 9.0]


def test_the_error_is_raised_once_no_read_is_left():
    scripts = [Script(ends=0.5, fails=True)]
    with pytest.raises(StoreUnavailable):
        Course(scripts).run(timedelta())


def test_a_read_that_fails_leaves_the_others_to_go_on():
    """Guards against a new start after the oldest of several reads was cut."""
    scripts = [Script(ends=1.0, fails=True), Script(ends=1.0)]
    course = Course(scripts).run(timedelta())
    assert (course.winner, course.won_at) == (1, 1.8)
    assert "StoreUnavailable" in course.ended[0].reason


def test_reads_that_fail_at_once_are_not_begun_in_a_row():
    """Guards against thousands of calls while the first read hangs."""
    scripts = [Script(ends=3.0), *[Script(ends=0.0, fails=True) for _ in range(5)]]
    course = Course(scripts).run(timedelta())
    assert course.begun == [0.0, 0.8, 1.6, 2.4]
