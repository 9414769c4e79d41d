"""Stateful tests of claims with two entries, one table service and a virtual clock."""

import asyncio
from collections import Counter, defaultdict, deque
from datetime import timedelta
from enum import Enum
from random import Random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mustardquay.claims import CLAIMS, ClaimDecision, ClaimKey, RecordedAnswer
from mustardquay.errors import StoreResultUnknown, StoreUnavailable
from mustardquay.tables import Committed, Conflict, Row
from mustardquay_node.recorders import Recorder
from mustardquay_standins.virtual_loops import LoopClock, VirtualLoop

LIFETIME = timedelta(hours=1)
DEADLINE = timedelta(seconds=30)
LATENCY = 0.02
DELAY = 3.0
LONG_BODY = 20_000


class WriteOutcome(Enum):
    DONE = "done"
    DOWN = "down"
    LOST = "applied, but the result lost"
    VANISHED = "not applied, with an unknown result"
    DELAYED = "applied seconds later, with an unknown result"


class Tables:
    """A table service in memory that can fail each transaction in another way."""

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.write_outcomes = deque()
        self.down = False
        self.delayed = set()

    async def transact(self, transaction):
        await asyncio.sleep(LATENCY)
        write_outcome = (
            self.write_outcomes.popleft() if self.write_outcomes else WriteOutcome.DONE
        )
        if self.down or write_outcome is WriteOutcome.DOWN:
            raise StoreUnavailable("down")
        if write_outcome is WriteOutcome.DELAYED:
            task = asyncio.ensure_future(self._apply_later(transaction))
            self.delayed.add(task)
            task.add_done_callback(self.delayed.discard)
        if write_outcome in (WriteOutcome.VANISHED, WriteOutcome.DELAYED):
            raise StoreResultUnknown("lost")
        result = self._apply(transaction)
        await asyncio.sleep(LATENCY)
        if write_outcome is WriteOutcome.LOST:
            raise StoreResultUnknown("lost")
        return result

    async def _apply_later(self, transaction):
        await asyncio.sleep(DELAY)
        self._apply(transaction)

    def _apply(self, transaction):
        failed = []
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.revision if row else 0) != condition.revision:
                failed.append(row)
        if failed:
            return Conflict(tuple(failed))
        revisions = []
        for write in transaction.writes:
            row = self.rows.get(write.key)
            revision = (row.revision if row else 0) + 1
            self.rows[write.key] = Row(write.table, write.key, write.value, revision)
            revisions.append(revision)
        return Committed(tuple(revisions))

    async def read(self, table, key):
        await asyncio.sleep(LATENCY)
        if self.down:
            raise StoreUnavailable("down")
        return self.rows.get(key)

    async def put(self, name, data):
        if self.down:
            raise StoreUnavailable("down")
        self.objects[name] = data

    async def get(self, name):
        if self.down:
            raise StoreUnavailable("down")
        return self.objects.get(name)


class Process:
    """One incarnation of an entry; can be killed between any two steps."""

    def __init__(self, tables, clock, name, seed):
        self.alive = True
        self.tasks = set()
        self._tables = tables
        self.recorder = Recorder(
            self, self, clock, Random(seed), name, LIFETIME, timedelta(milliseconds=5)
        )
        self.recorder.start()

    async def _forward(self, call):
        # A call that a killed process had sent still takes effect, but never returns.
        result = await asyncio.shield(asyncio.ensure_future(call))
        if not self.alive:
            await asyncio.get_running_loop().create_future()
        return result

    def transact(self, transaction):
        return self._forward(self._tables.transact(transaction))

    def read(self, table, key):
        return self._forward(self._tables.read(table, key))

    def put(self, name, data):
        return self._forward(self._tables.put(name, data))

    def get(self, name):
        return self._forward(self._tables.get(name))

    def run(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)

    async def kill(self):
        self.alive = False
        for task in self.tasks:
            task.cancel()
        # A killed process withdraws no claims, so its writer is stopped first.
        await self.recorder.close(timedelta())


class Claims(RuleBasedStateMachine):
    """Callers retry at two entries, while processes and the store fail."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        self.loop = VirtualLoop()
        self.loop.set_exception_handler(lambda loop, context: None)
        self.clock = LoopClock(self.loop)
        self.tables = Tables()
        self.random = Random(seed)
        self.executed = defaultdict(list)
        self.answers = {}
        self.outcomes = []
        self.pending = Counter()
        self.violations = []
        self.incarnations = 0
        self.entries = [None, None]
        self.work = set()
        for index in (0, 1):
            self._run(self._start(index))

    def _run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def _start(self, index):
        self.incarnations += 1
        name = f"entry-{index}-{self.incarnations}"
        self.entries[index] = Process(
            self.tables, self.clock, name, self.random.random()
        )

    @rule(
        index=st.integers(0, 1),
        key=st.sampled_from(["k1", "k2"]),
        body=st.sampled_from(["one", "one", "two"]),
        end=st.sampled_from(["answer", "answer", "not-run", "unknown", "late"]),
        long=st.booleans(),
        timeout=st.sampled_from([1.0, 5.0]),
    )
    def call(self, index, key, body, end, long, timeout):
        process = self.entries[index]
        call = self._serve(process, key, body, end, long, timeout)

        async def begin():
            process.run(call)

        self._run(begin())

    @rule(
        index=st.integers(0, 1),
        timeout=st.sampled_from([0.01, 0.03, 0.05, 1.0]),
    )
    def call_of_a_caller_that_leaves(self, index, timeout):
        process = self.entries[index]
        call = self._serve(process, "k1", "one", "answer", False, 1.0)

        async def begin():
            task = asyncio.ensure_future(call)
            process.tasks.add(task)
            asyncio.get_running_loop().call_later(timeout, task.cancel)

        self._run(begin())

    @rule(
        write_outcomes=st.lists(st.sampled_from(WriteOutcome), min_size=1, max_size=4)
    )
    def store_fails(self, write_outcomes):
        self.tables.write_outcomes.extend(write_outcomes)

    @rule()
    def store_goes_down_or_up(self):
        self.tables.down = not self.tables.down

    @rule(seconds=st.sampled_from([0.01, 0.03, 0.5, 4.0, 40.0]))
    def time_passes(self, seconds):
        self._run(asyncio.sleep(seconds))

    @rule(index=st.integers(0, 1))
    def entry_is_killed(self, index):
        process = self.entries[index]
        self._run(process.kill())
        self._run(self._start(index))

    @rule()
    def claims_expire(self):
        self._run(asyncio.sleep(2 * LIFETIME.total_seconds()))

    async def _serve(self, process, key, body, end, long, timeout):
        begun = self.clock.monotonic()
        resolved = await process.recorder.claim(
            ClaimKey("syndesmos", "booking", key),
            body,
            f"r{self.random.random()}/1",
            begun + timedelta(seconds=timeout),
            begun + DEADLINE,
        )
        waited = self.clock.monotonic() - begun
        if waited > DEADLINE + timedelta(seconds=timeout + 1):
            self.violations.append(f"{key}: waited {waited}")
        self.outcomes.append(resolved.decision)
        if resolved.decision is ClaimDecision.RUN:
            # The attempt was sent to the agent, and runs even if this entry dies.
            claim = resolved.claim
            task = asyncio.ensure_future(
                self._execute(process, claim, key, body, end, long)
            )
            self.work.add(task)
            task.add_done_callback(self.work.discard)
        elif resolved.decision is ClaimDecision.REPLAY:
            self._check_replay(key, body, resolved.answer)
        elif (
            resolved.decision is ClaimDecision.MISMATCH
            and resolved.claim.digest == body
        ):
            self.violations.append(f"{key}: refused its own body")

    async def _execute(self, process, claim, key, body, end, long):
        recorder = process.recorder
        if end == "not-run":
            await asyncio.sleep(0.1)
            if process.alive:
                recorder.release(claim)
            return
        self._note_run(key, claim)
        await asyncio.sleep(0.1)
        text = f"{body}/{claim.id}".encode() + b"." * (LONG_BODY if long else 0)
        answer = RecordedAnswer(200, (("Content-Type", "text/plain"),), text)
        self.answers[claim.id] = (key, body, answer.body)
        if end != "answer" and process.alive:
            recorder.record_unknown(claim)
        if end == "late":
            await asyncio.sleep(0.2)
        if end != "unknown" and process.alive:
            recorder.record_answer(claim, answer)

    def _note_run(self, key, claim):
        for earlier in self.executed[key]:
            if self.clock.now() < earlier.expires:
                self.violations.append(f"{key}: run twice, {earlier.id} and {claim.id}")
        self.executed[key].append(claim)

    def _check_replay(self, key, body, answer):
        if (key, body, answer.body) not in self.answers.values():
            self.violations.append(f"{key}: the answer is not its own")

    @invariant()
    def no_violations(self):
        assert not getattr(self, "violations", [])

    def teardown(self):
        if not hasattr(self, "loop"):
            return
        try:
            self._finish()
        finally:
            self.loop.close()

    def _finish(self):
        self.tables.down = False
        self.tables.write_outcomes.clear()
        self._run(asyncio.sleep(200))
        for process in self.entries:
            assert all(task.done() for task in process.tasks), "a request has no end"
            assert process.recorder.waiting == 0
        self._check_that_the_key_is_free_or_its_run_known()
        assert not self.violations
        for process in self.entries:
            self._run(process.kill())

    def _check_that_the_key_is_free_or_its_run_known(self):
        """Check that no withdrawn claim blocks its key."""
        for row in self.tables.rows.values():
            if row.value["state"] != "claimed":
                continue
            holder = row.value["entry"]
            living = [process.recorder._name for process in self.entries]
            if holder in living:
                ran = {claim.id for runs in self.executed.values() for claim in runs}
                assert row.value["id"] in ran, "a claim is held by nobody"


def test_claimed_work_runs_at_most_once_and_retries_get_its_answer():
    """Two entries, callers that retry with the same key, and a store that fails.

    Guards against a booking made twice, the answer of another call, and a call that
    never ends. Entries are killed, callers disconnect, the store loses results, applies
    writes late or is unavailable, and both entries get the same key at once.
    """
    run_state_machine_as_test(
        Claims,
        settings=settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=150,
            stateful_step_count=25,
        ),
    )


def test_claims_of_a_window_share_a_transaction():
    loop = VirtualLoop()
    tables = Tables()
    clock = LoopClock(loop)

    async def claim_all():
        window = timedelta(milliseconds=5)
        recorder = Recorder(tables, tables, clock, Random(1), "entry", LIFETIME, window)
        recorder.start()
        until = clock.monotonic() + DEADLINE
        keys = [ClaimKey("c", "booking", f"k{number}") for number in range(40)]
        resolved = await asyncio.gather(
            *(recorder.claim(key, "d", "r/1", until, until) for key in keys)
        )
        await recorder.close()
        return {item.decision for item in resolved}, recorder.transactions

    assert loop.run_until_complete(claim_all()) == ({ClaimDecision.RUN}, 1)
    assert len(tables.rows) == 40
    assert {row.table for row in tables.rows.values()} == {CLAIMS}
    loop.close()


class ClaimSession:
    """Calls under one key at two entries, with a log of the store's calls."""

    def __init__(self, loop):
        self.clock = LoopClock(loop)
        self.lines = []
        self.tables = Tables()
        self.entries = [
            Process(self, self.clock, f"entry-{number}", number) for number in (1, 2)
        ]

    def note(self, line):
        self.lines.append(f"{self.clock.monotonic().total_seconds():7.3f}  {line}")

    async def transact(self, transaction):
        states = [write.value["state"] for write in transaction.writes]
        try:
            result = await self.tables.transact(transaction)
        except (StoreUnavailable, StoreResultUnknown) as error:
            self.note(f"store: {states} {type(error).__name__}")
            raise
        self.note(f"store: {states} {type(result).__name__}")
        return result

    async def read(self, table, key):
        row = await self.tables.read(table, key)
        self.note(f"store: read {row.value['state'] if row else 'nothing'}")
        return row

    async def claim(self, entry, body="body", timeout=1.0):
        begun = self.clock.monotonic()
        resolved = await self.entries[entry - 1].recorder.claim(
            ClaimKey("syndesmos", "bookings", "k"),
            body,
            f"r{entry}/1",
            begun + timedelta(seconds=timeout),
            begun + DEADLINE,
        )
        answer = f" {resolved.answer.body!r}" if resolved.answer else ""
        self.note(f"entry-{entry}: {resolved.decision}{answer}")
        return resolved

    async def end(self, entry, resolved):
        self.note("service: booked")
        recorder = self.entries[entry - 1].recorder
        await recorder.record_answer(resolved.claim, RecordedAnswer(201, (), b"booked"))


async def repeat_at_another_entry(session):
    resolved = await session.claim(1)
    repeat = asyncio.ensure_future(session.claim(2))
    await asyncio.sleep(0.3)
    await session.end(1, resolved)
    await repeat
    await session.claim(1, body="another")


async def answer_lost_after_the_write(session):
    session.tables.write_outcomes.append(WriteOutcome.LOST)
    await session.end(1, await session.claim(1))


async def store_down(session):
    session.tables.down = True
    await session.claim(1)
    session.tables.down = False
    await asyncio.sleep(1)
    await session.end(2, await session.claim(2))


async def write_applied_after_the_caller_gave_up(session):
    session.tables.write_outcomes.extend(
        [WriteOutcome.DELAYED, *[WriteOutcome.DOWN] * 6]
    )
    await session.claim(1)
    await asyncio.sleep(5)
    await session.end(2, await session.claim(2))


async def killed_entry(session):
    await session.claim(1)
    await session.entries[0].kill()
    await session.claim(2)


SCRIPTS = [
    repeat_at_another_entry,
    answer_lost_after_the_write,
    store_down,
    write_applied_after_the_caller_gave_up,
    killed_entry,
]


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.__name__)
def test_claim_session_matches_snapshot(script, snapshot):
    loop = VirtualLoop()

    async def play():
        session = ClaimSession(loop)
        await script(session)
        for process in session.entries:
            await process.kill()
        return session.lines

    lines = loop.run_until_complete(play())
    loop.close()
    assert lines == snapshot
