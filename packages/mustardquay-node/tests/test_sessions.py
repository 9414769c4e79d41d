"""Snapshots of whole sessions: all that an entry sends and receives, with times."""

import asyncio
from datetime import timedelta
from random import Random

import orjson
import pytest

from mustardquay.attempts import RequestState
from mustardquay.errors import Reason, Refusal
from mustardquay.messages import (
    Attempt,
    Chunk,
    Done,
    Failed,
    FailureKind,
    Head,
    Refused,
    Started,
)
from mustardquay.retries import RetryBudget, choose_backoff
from mustardquay.works import UpstreamView, Work
from mustardquay_node.exchanges import Call, Exchange
from mustardquay_standins.virtual_loops import LoopClock, VirtualLoop

WINDOW = timedelta(seconds=6)
LATENESS = timedelta(seconds=20)
BODY = b'{"model": "m", "messages": [{"role": "user", "content": "x"}]}'


class Session:
    """One exchange at an entry; a script plays the agents."""

    def __init__(self, loop, repeatable, streamed):
        self.clock = LoopClock(loop)
        self.lines = []
        self.bodies = []
        self.names = ["u1", "u2", "u3"]
        self.linked = {"u1", "u2", "u3"}
        self.gone = set()
        self.stream = 0
        self.random = Random(1)
        self.budget = RetryBudget()
        work = Work(
            "r1",
            0,
            "customer",
            "m",
            start_by=timedelta(seconds=1.2),
            finish_by=LATENESS,
            repeatable=repeatable,
        )
        method = "POST"
        call = Call(work, method, "/v1/chat/completions", (), BODY, streamed, 1)
        state = RequestState(
            repeatable,
            streamed,
            3,
            lambda: self.budget.spend("customer", self.now()),
            lambda retry: choose_backoff(retry, LATENESS, self.random),
        )
        self.exchange = Exchange(call, self, state, self, WINDOW, lambda exchange: None)

    def note(self, line):
        self.lines.append(f"{self.now().total_seconds():7.3f}  {line}")

    # Methods that the exchange calls as its dispatcher.

    def now(self):
        return self.clock.monotonic()

    def choose(self, call, avoid):
        usable = [name for name in self.names if name in self.linked]
        chosen = [name for name in usable if name not in avoid] or usable
        if not chosen:
            return Refusal(Reason.NO_UPSTREAM, "none", timedelta(seconds=1))
        return UpstreamView(chosen[0], "linz", incarnation=1)

    def reserve(self, exchange):
        self.stream += 1
        return self.stream

    def release(self, stream):
        self.note(f"entry forgets stream {stream}")

    def send(self, upstream, message):
        if upstream not in self.linked:
            return False
        kind = type(message).__name__
        details = f"stream {message.stream}"
        if isinstance(message, Attempt):
            self.bodies.append(orjson.loads(message.body))
            details += f", attempt {message.number}"
            details += ", resumed" if b"resume" in message.body else ""
        elif hasattr(message, "have"):
            details += f", have {message.have}"
        self.note(f"entry -> {upstream}: {kind} {details}")
        return True

    def reach(self, upstream, incarnation):
        return None if upstream in self.gone else upstream in self.linked

    def expect_cached(self, upstream, work):
        return 0

    def record(self, kind, exchange, upstream="", **details):
        facts = "".join(f" {name}={value}" for name, value in details.items())
        self.note(f"event {kind} {upstream}{facts}".rstrip())

    # Methods that the exchange calls as its sink.

    def take_head(self, status, headers):
        self.note(f"caller <- head {status}")

    def take_data(self, data):
        self.note(f"caller <- {data!r}")

    def answer_early(self, refusal):
        self.note(f"caller <- unknown for now: {refusal.reason}")

    def finish(self, end):
        reason = f", {end.refusal.reason}" if end.refusal else ""
        self.note(f"caller <- end: {end.outcome}{reason}")

    # Methods for scripts.

    def receive_frames(self, *frames):
        for frame in frames:
            self.note(f"agent -> entry: {type(frame).__name__} {frame.index}")
            self.exchange.receive(frame)

    async def wait(self, seconds):
        await asyncio.sleep(seconds)

    def lose_link(self, upstream):
        self.linked.discard(upstream)
        self.note(f"link to {upstream} is lost")
        self.exchange.note_link_lost()

    def open_link(self, upstream):
        self.linked.add(upstream)
        self.note(f"link to {upstream} is open")
        self.exchange.note_link_opened()


def head(s, i):
    return Head(s, i, 200, ())


def token(s, i, text):
    return Chunk(s, i, 1, b'data: {"choices":[{"delta":{"content":"%s"}}]}\n\n' % text)


def start_stream(s):
    return Started(s, 0), head(s, 1), token(s, 2, b"a"), token(s, 3, b"b")


async def stream_of_a_draft(session):
    session.receive_frames(*start_stream(1))
    await session.wait(0.05)
    session.receive_frames(token(1, 4, b"c"), Done(1, 5))


async def booking(session):
    await session.wait(0.01)
    session.receive_frames(Started(1, 0))
    await session.wait(0.2)
    session.receive_frames(head(1, 1), Chunk(1, 2, 0, b"booked"), Done(1, 3))


async def enquiry(session):
    session.receive_frames(
        Started(1, 0), head(1, 1), Chunk(1, 2, 0, b"free"), Done(1, 3)
    )


async def upstream_crash(session):
    session.receive_frames(*start_stream(1))
    await session.wait(0.05)
    session.receive_frames(Failed(1, 4, FailureKind.CRASH, "The upstream died."))
    await session.wait(0.2)
    session.receive_frames(Started(2, 0), head(2, 1), token(2, 2, b"c"), Done(2, 3))


async def late_frames_of_a_replaced_attempt(session):
    await stall_upstream(session)
    session.receive_frames(token(1, 4, b"late"), Done(1, 5))
    session.receive_frames(Started(2, 0), head(2, 1), token(2, 2, b"c"), Done(2, 3))


async def stall_upstream(session):
    session.receive_frames(*start_stream(1))
    session.receive_frames(Failed(1, 4, FailureKind.STALLED, "No progress."))
    await session.wait(0.2)


async def link_cut(session):
    session.receive_frames(*start_stream(1))
    session.lose_link("u1")
    await session.wait(0.3)
    session.open_link("u1")
    session.receive_frames(token(1, 3, b"b"), token(1, 4, b"c"), Done(1, 5))


async def killed_agent(session):
    session.receive_frames(*start_stream(1))
    session.lose_link("u1")
    session.gone.add("u1")
    await session.wait(0.1)
    session.exchange.note_agent_gone()
    await session.wait(0.2)
    session.receive_frames(Started(2, 0), head(2, 1), token(2, 2, b"c"), Done(2, 3))


async def all_links_lost(session):
    session.receive_frames(*start_stream(1))
    for name in ("u2", "u3", "u1"):
        session.linked.discard(name)
    session.lose_link("u1")
    session.gone.add("u1")
    session.exchange.note_agent_gone()
    await session.wait(0.6)
    session.open_link("u2")
    await session.wait(3)
    session.receive_frames(Started(2, 0), head(2, 1), token(2, 2, b"c"), Done(2, 3))


async def booking_whose_agent_never_comes_back(session):
    session.receive_frames(Started(1, 0))
    session.lose_link("u1")
    await session.wait(7)


async def booking_that_never_came(session):
    session.lose_link("u1")
    await session.wait(0.3)
    session.open_link("u1")
    session.receive_frames(Refused(1, 0, Reason.TOMBSTONE, "It never came.", None))
    session.receive_frames(
        Started(2, 0), head(2, 1), Chunk(2, 2, 0, b"booked"), Done(2, 3)
    )


async def booking_whose_service_drops_its_answer(session):
    session.receive_frames(
        Started(1, 0), Failed(1, 1, FailureKind.TRUNCATED, "No end mark.")
    )


async def booking_past_its_deadline(session):
    session.receive_frames(Started(1, 0))
    await session.wait(21)
    session.receive_frames(head(1, 1), Chunk(1, 2, 0, b"booked"), Done(1, 3))


async def drain(session):
    refused = Refused(1, 0, Reason.DRAINING, "Use another.", timedelta(seconds=1))
    session.receive_frames(refused)
    session.receive_frames(Started(2, 0), head(2, 1), token(2, 2, b"a"), Done(2, 3))


async def no_upstream(session):
    await session.wait(1)


STREAMS = (
    stream_of_a_draft,
    upstream_crash,
    late_frames_of_a_replaced_attempt,
    link_cut,
    killed_agent,
    all_links_lost,
    drain,
)
BOOKINGS = (
    booking,
    booking_whose_agent_never_comes_back,
    booking_that_never_came,
    booking_whose_service_drops_its_answer,
    booking_past_its_deadline,
)
CASES = [(script, True, True) for script in STREAMS]
CASES += [(script, False, False) for script in BOOKINGS]
CASES += [(enquiry, True, False), (no_upstream, True, True)]


@pytest.mark.parametrize(
    ("script", "repeatable", "streamed"),
    CASES,
    ids=lambda part: getattr(part, "__name__", ""),
)
def test_session_matches_snapshot(script, repeatable, streamed, snapshot):
    loop = VirtualLoop()

    async def play():
        session = Session(loop, repeatable, streamed)
        if script is no_upstream:
            session.linked.clear()
        session.exchange.start()
        await script(session)
        return session.lines

    lines = loop.run_until_complete(play())
    loop.close()
    assert sum("caller <- end" in line for line in lines) == 1
    assert lines == snapshot


def test_an_error_that_breaks_off_is_no_part_of_what_a_resumed_engine_gets():
    """Guards against an engine that resumes a stream at a token the caller has."""
    loop = VirtualLoop()

    async def play():
        session = Session(loop, repeatable=True, streamed=True)
        session.exchange.start()
        session.receive_frames(
            Started(1, 0),
            Head(1, 1, 400, ()),
            Chunk(1, 2, 0, b'{"error": {"message": "Fai'),
            Failed(1, 3, FailureKind.CRASH, "The upstream died."),
        )
        await session.wait(0.2)
        crash = Failed(2, 4, FailureKind.CRASH, "The upstream died.")
        session.receive_frames(*start_stream(2), crash)
        await session.wait(0.4)
        session.receive_frames(Started(3, 0), head(3, 1), token(3, 2, b"c"), Done(3, 3))
        return session

    session = loop.run_until_complete(play())
    loop.close()
    assert session.bodies[-1]["resume"] == {"text": "ab", "tokens": 2}
    assert session.exchange.state.tokens_delivered == 3
