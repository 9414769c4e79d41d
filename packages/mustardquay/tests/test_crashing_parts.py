"""Verdicts on parts of prompts in several gateways, whatever reaches whom and when."""

from collections import Counter
from datetime import timedelta

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from mustardquay.crashing_parts import (
    MAX_STARTS,
    REFUSED_AFTER,
    AnsweredParts,
    NoticeSchedule,
    PartBook,
    compute_start_key,
)
from mustardquay.requests import compute_part_key

STEADY = settings(derandomize=True, deadline=None, database=None, max_examples=150)
GATEWAYS = ("g1", "g2", "g3")
ENGINES = ("e1", "e2", "e3", "e4", "e5", "e6")
BAD = 666
FIRST = 1
"""The part that all prompts begin with."""
SECONDS = (10, 11, 12)
SETTLED = timedelta(seconds=1)
KNOWN_AFTER = 5
"""Crashes after which all gateways in touch must refuse a part."""


class Gateways(RuleBasedStateMachine):
    """Gateways that send prompts to engines, and records to each other at any time."""

    def __init__(self):
        super().__init__()
        self.now = timedelta()
        self.books = {name: PartBook() for name in GATEWAYS}
        self.starts = Counter()
        self.running = {engine: [] for engine in ENGINES}
        self.crashes = 0
        self.has_lost_evidence = False

    @rule(
        gateway=st.sampled_from(GATEWAYS),
        engine=st.sampled_from(ENGINES),
        second=st.sampled_from((BAD, *SECONDS)),
    )
    def send(self, gateway, engine, second):
        parts = (FIRST, second)
        if self.books[gateway].find_refused(parts, self.now) is None:
            self.running[engine].append((gateway, parts))

    @rule(engine=st.sampled_from(ENGINES))
    def engine_goes_on(self, engine):
        """Crash if a prompt with the bad part runs here, else answer all prompts."""
        running = self.running[engine]
        start = self._get_start(engine)
        if any(BAD in parts for _, parts in running):
            self.crashes += 1
            self._crash(engine)
            return
        for gateway, parts in running:
            self.books[gateway].note_answered(start, parts, self.now)
        running.clear()

    @rule(engine=st.sampled_from(ENGINES), second=st.sampled_from(SECONDS))
    def engine_answers_all_gateways(self, engine, second):
        for gateway in GATEWAYS:
            self.running[engine].append((gateway, (FIRST, second)))
        self.engine_goes_on(engine)

    @rule(sender=st.sampled_from(GATEWAYS), receiver=st.sampled_from(GATEWAYS))
    def records_arrive(self, sender, receiver):
        book = self.books[sender]
        records = [book.export(part, self.now) for part in (FIRST, BAD, *SECONDS)]
        known = [record for record in records if record is not None]
        self.books[receiver].merge(known, self.now)

    @rule(gateway=st.sampled_from(GATEWAYS))
    def gateway_starts_anew(self, gateway):
        self._exchange()
        self.books[gateway] = PartBook()
        self._exchange()

    @precondition(lambda self: not self.has_lost_evidence)
    @rule(engine=st.sampled_from(ENGINES), gateway=st.sampled_from(GATEWAYS))
    def engine_crashes_with_the_only_gateway_that_saw_why(self, engine, gateway):
        """End an engine under a stream on the first part that was cut off before."""
        self.has_lost_evidence = True
        self.crashes += 1
        self.running[engine] = [(gateway, (FIRST,))]
        self._crash(engine)

    @rule()
    def time_passes(self):
        self.now += timedelta(milliseconds=300)

    def teardown(self):
        """Check that all gateways come to the same verdict, and to the right one."""
        self._exchange()
        self.now += SETTLED
        for part in (FIRST, BAD, *SECONDS):
            verdicts = {book.is_refused(part, self.now) for book in self.books.values()}
            assert len(verdicts) == 1
        refused = {
            part
            for part in (FIRST, BAD, *SECONDS)
            if self.books["g1"].is_refused(part, self.now)
        }
        if self.crashes >= KNOWN_AFTER:
            assert BAD in refused
        if self.crashes < REFUSED_AFTER:
            assert not refused
        assert FIRST not in refused

    def _crash(self, engine):
        start = self._get_start(engine)
        running = self.running[engine]
        for gateway in GATEWAYS:
            mine = [parts for name, parts in running if name == gateway]
            depths = {part: depth for each in mine for depth, part in enumerate(each)}
            self.books[gateway].note_crash(start, depths, self.now)
        self.starts[engine] += 1
        running.clear()

    def _get_start(self, engine):
        return compute_start_key(engine, str(self.starts[engine]))

    def _exchange(self):
        for _ in range(2):
            for sender in GATEWAYS:
                for receiver in GATEWAYS:
                    self.records_arrive(sender, receiver)


def test_gateways_come_to_the_same_verdict_in_any_order():
    run_state_machine_as_test(Gateways, settings=STEADY)


@STEADY
@given(st.permutations(range(12)), st.integers(0, 12))
def test_records_merge_to_the_same_in_any_order(order, split):
    """Guards against limits of a record that depend on what came first."""

    def merge(crashes):
        book = PartBook()
        for number in crashes:
            book.note_crash(number, {BAD: 1}, timedelta())
        return book.export(BAD, timedelta())

    left, right = PartBook(), PartBook()
    left.merge([merge(order[:split])] if split else [], timedelta())
    left.merge([merge(order[split:])] if split < 12 else [], timedelta())
    right.merge([merge(range(12))], timedelta())
    assert left.export(BAD, timedelta()) == right.export(BAD, timedelta())


def play_crashes(book, starts, parts=(BAD,), now=timedelta()):
    for start in starts:
        depths = {part: depth for depth, part in enumerate(parts)}
        book.note_crash(start, depths, now)


def test_a_start_that_answered_a_part_does_not_count_against_it():
    """Guards against refusing what all prompts share when engines are lost."""
    book = PartBook()
    for start in range(6):
        book.note_answered(start, [FIRST], timedelta())
    play_crashes(book, range(6), [FIRST])
    assert book.count_crashes(FIRST) == 0
    assert not book.is_refused(FIRST, SETTLED)


def test_the_bad_part_explains_the_crashes_of_those_it_comes_with():
    """Guards against refusing the first part of a tenant that few engines answered."""
    book = PartBook()
    book.note_answered(100, [FIRST, SECONDS[0]], timedelta())
    play_crashes(book, range(6), [FIRST, BAD])
    assert book.find_refused([FIRST, SECONDS[0]], SETTLED) is None
    assert book.is_refused(BAD, SETTLED)


def test_a_first_part_that_nobody_has_answered_is_not_refused_with_the_bad_one():
    """Guards against refusing a tenant's first part that is new in all crashes."""
    book = PartBook()
    play_crashes(book, range(REFUSED_AFTER), [FIRST, BAD])
    assert book.find_refused([FIRST, SECONDS[0]], SETTLED) is None
    assert book.is_refused(BAD, SETTLED)


def test_a_bad_first_part_is_refused_once_it_crashes_without_the_second():
    """Guards against the wrong choice among parts that always came together."""
    book = PartBook()
    play_crashes(book, range(REFUSED_AFTER), [BAD, SECONDS[0]])
    assert book.find_refused([BAD, SECONDS[0]], SETTLED) is not None
    play_crashes(book, [100], [BAD, SECONDS[1]], SETTLED)
    assert book.is_refused(BAD, 2 * SETTLED)


def test_a_first_part_with_one_crash_more_than_the_bad_part_is_not_refused():
    """Guards against evidence that is lost with the only gateway that had it."""
    for lost in range(REFUSED_AFTER):
        book = PartBook()
        for start in range(REFUSED_AFTER + 1):
            parts = [FIRST] if start == lost else [FIRST, BAD]
            play_crashes(book, [start], parts)
            assert book.find_refused([FIRST, SECONDS[0]], SETTLED) is None
        assert book.is_refused(BAD, SETTLED)


@STEADY
@given(st.lists(st.sampled_from(SECONDS), min_size=6, max_size=6))
def test_a_bad_first_part_is_refused_whatever_comes_with_it(seconds):
    """Guards against parts that explain each other's crashes for ever."""
    book = PartBook()
    crashes = 0
    for start, second in enumerate(seconds):
        if book.find_refused([BAD, second], SETTLED) is None:
            play_crashes(book, [start], [BAD, second])
            crashes += 1
    refused = book.list_refused(SETTLED)
    assert BAD in refused or crashes <= KNOWN_AFTER
    assert BAD in refused or set(refused) & set(seconds)


def test_a_gateway_without_answers_of_its_own_waits_for_those_of_others():
    """Guards against a gateway that has just started when engines crash."""
    started, other = PartBook(), PartBook()
    for start in range(MAX_STARTS):
        other.note_answered(start, [FIRST], timedelta())
    play_crashes(started, range(100, 108), [FIRST])
    assert not started.is_refused(FIRST, timedelta())
    assert started.measure_settling(FIRST, timedelta()) > timedelta()
    merged = other.merge([started.export(FIRST, timedelta())], timedelta())
    assert merged.unknown_there == [FIRST]
    started.merge([other.export(FIRST, timedelta())], timedelta())
    assert not started.is_refused(FIRST, SETTLED)
    assert not other.is_refused(FIRST, SETTLED)


def test_a_part_that_crashes_some_engines_only_is_refused_in_the_end():
    """Guards against a part that one kind of engine bears and the other does not."""
    book = PartBook()
    for start in range(4):
        book.note_answered(start, [BAD], timedelta())
    play_crashes(book, range(100, 100 + MAX_STARTS))
    assert book.is_refused(BAD, SETTLED)


def test_a_refusal_ends_and_is_not_extended_by_gateways_that_repeat_it():
    """Guards against a refusal that never ends."""
    first, second = PartBook(), PartBook()
    play_crashes(first, range(REFUSED_AFTER))
    now = timedelta()
    while now < timedelta(minutes=5, seconds=1):
        now += timedelta(seconds=1)
        for sender, receiver in ((first, second), (second, first)):
            record = sender.export(BAD, now)
            receiver.merge([record] if record else [], now)
    assert not first.is_refused(BAD, now)
    assert not second.is_refused(BAD, now)


def test_memory_is_bounded_whatever_parts_callers_invent():
    answered = AnsweredParts(capacity=100)
    book = PartBook(answered, capacity=100)
    play_crashes(book, range(REFUSED_AFTER), [BAD])
    for number in range(1000):
        part = compute_part_key(f"invented {number}")
        book.note_answered(number, [part], timedelta())
        book.note_crash(number, {part + 1: 0}, timedelta())
    assert len(book) <= 100
    assert len(answered) <= 100
    assert book.is_refused(BAD, SETTLED)


def test_notices_tell_parts_with_the_most_crashes_first():
    schedule = NoticeSchedule()
    schedule.note_news([1, 2, 3])
    assert schedule.take(2, {1: 1, 2: 4, 3: 2}.get) == [2, 3]
    assert schedule
