"""Loads: a load generator that checks every answer.

Arrivals are open-loop: calls are made at their planned times, whether or not earlier
ones were answered, as from independent callers. A seed determines the plan. Every
answer of a model is compared with the text that an engine stand-in must generate, so
that lost, duplicated and swapped tokens are detected.
"""

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import orjson
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from mustardquay import Clock, SystemClock

from .answers import expected_text
from .engine_calls import DONE, read_event_text
from .load_plans import Arrival, CallKind, LoadPlan, plan_arrivals
from .samples import Samples

__all__ = [
    "Arrival",
    "CallKind",
    "LoadDriver",
    "LoadPlan",
    "LoadReport",
    "LoadTarget",
    "plan_arrivals",
]

MAX_CLIENTS = 10_000


@dataclass(frozen=True, slots=True)
class LoadTarget:
    """The URLs and the credentials of a load test."""

    urls: Sequence[str]
    """Base URLs, used round-robin."""
    model: str = "model"
    api_key: str = ""
    enquiry_path: str = "/hours"
    booking_path: str = "/bookings"
    timeout: timedelta = timedelta(seconds=30)


@dataclass(slots=True)
class LoadReport:
    """The results of a plan; times are in seconds."""

    outcomes: Counter[tuple[CallKind, str]] = field(default_factory=Counter)
    """Calls by kind and outcome, each call once, by its last outcome: that of the
    header where there is one, else `answered`, `refused` or `broken`."""
    statuses: Counter[int] = field(default_factory=Counter)
    """Answers by HTTP status, 0 for none; retries are included."""
    wrong: list[int] = field(default_factory=list)
    """Numbers of calls whose answer was declared complete but was not as expected."""
    tokens: int = 0
    whole: dict[CallKind, Samples] = field(
        default_factory=lambda: {kind: Samples() for kind in CallKind}
    )
    """Time to the end of answered calls."""
    first_token: Samples = field(default_factory=Samples)
    between_tokens: Samples = field(default_factory=Samples)
    """Every single gap between tokens of streamed answers."""
    answered_keys: list[str] = field(default_factory=list)
    """Idempotency keys of the bookings that were answered."""

    def count(self, outcome: str) -> int:
        """Return the number of calls that ended with this outcome."""
        return sum(
            number for (_, name), number in self.outcomes.items() if name == outcome
        )


class LoadDriver:
    """Makes the calls of a plan against a target and reports the results."""

    def __init__(self, target: LoadTarget, clock: Clock | None = None, seed: int = 0):
        self._target = target
        self._clock = clock or SystemClock()
        self._random = Random(seed)
        self._client: AsyncHTTPClient | None = None
        self._report = LoadReport()

    @property
    def report(self) -> LoadReport:
        """Return the report, which is updated while a plan runs."""
        return self._report

    async def start(self) -> None:
        """Create the HTTP client."""
        self._client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def close(self) -> None:
        """Close the HTTP client."""
        if self._client is not None:
            self._client.close()

    async def run(self, plan: LoadPlan) -> LoadReport:
        """Make the calls of a plan; returns when the last has ended."""
        started = self._clock.monotonic()
        async with asyncio.TaskGroup() as group:
            for arrival in plan_arrivals(plan, self._random):
                wait = started + arrival.at - self._clock.monotonic()
                await asyncio.sleep(max(wait.total_seconds(), 0.0))
                group.create_task(self.call(arrival, plan.repeats))
        return self._report

    async def run_closed(self, plan: LoadPlan, callers: int) -> LoadReport:
        """Make the calls of a plan from `callers` callers, each one call at a time."""
        arrivals = plan_arrivals(plan, self._random)

        async def keep_calling() -> None:
            for arrival in arrivals:
                await self.call(arrival, plan.repeats)

        async with asyncio.TaskGroup() as group:
            for _ in range(callers):
                group.create_task(keep_calling())
        return self._report

    async def call(self, arrival: Arrival, repeats: int = 0) -> str:
        """Make one call with up to `repeats` retries; returns its last outcome."""
        while True:
            outcome, retry_after = await self._call_once(arrival)
            if outcome == "answered" or repeats <= 0:
                break
            repeats -= 1
            await asyncio.sleep(retry_after)
        self._report.outcomes[arrival.kind, outcome] += 1
        return outcome

    async def _call_once(self, arrival: Arrival) -> tuple[str, float]:
        reader = _AnswerReader(arrival, self._clock, self._report)
        request = self._make_request(arrival, reader)
        assert self._client is not None
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            self._report.statuses[0] += 1
            return "broken", 0.0
        self._report.statuses[response.code] += 1
        outcome = reader.classify(response)
        return outcome, float(response.headers.get("Retry-After", "0"))

    def _make_request(self, arrival: Arrival, reader: "_AnswerReader") -> HTTPRequest:
        target = self._target
        url = target.urls[arrival.number % len(target.urls)]
        headers = {"Content-Type": "application/json"}
        if target.api_key:
            headers["Authorization"] = f"Bearer {target.api_key}"
        timeout = target.timeout.total_seconds()
        if arrival.kind is CallKind.ENQUIRY:
            return HTTPRequest(
                url + target.enquiry_path, headers=headers, request_timeout=timeout
            )
        if arrival.kind is CallKind.BOOKING:
            headers["Idempotency-Key"] = arrival.key
            path, body = target.booking_path, {"reference": arrival.key}
        else:
            path, body = "/v1/chat/completions", self._make_body(arrival)
        return HTTPRequest(
            url + path,
            method="POST",
            headers=headers,
            body=orjson.dumps(body),
            request_timeout=timeout,
            streaming_callback=(
                reader.receive if arrival.kind is CallKind.DRAFT else None
            ),
        )

    def _make_body(self, arrival: Arrival) -> dict[str, object]:
        return {
            "model": self._target.model,
            "messages": [{"role": "user", "content": arrival.prompt}],
            "max_tokens": arrival.max_tokens,
            "stream": arrival.kind is CallKind.DRAFT,
        }


class _AnswerReader:
    """Receives one answer, measures it and checks that it is complete."""

    def __init__(self, arrival: Arrival, clock: Clock, report: LoadReport):
        self._arrival = arrival
        self._clock = clock
        self._report = report
        self._started = clock.monotonic()
        self._last_token: timedelta | None = None
        self._rest = b""
        self._texts: list[str] = []
        self._done = False

    def receive(self, data: bytes) -> None:
        """Receive a chunk of a streamed answer."""
        *events, self._rest = (self._rest + data).split(b"\n\n")
        for event in events:
            if event + b"\n\n" == DONE:
                self._done = True
                continue
            text = read_event_text(event)
            if text:
                self._texts.append(text)
                self._note_token()

    def classify(self, response: HTTPResponse) -> str:
        """Return the outcome, and record wrong answers and times."""
        good = response.code < 300
        outcome = response.headers.get("Mustardquay-Outcome")
        if self._arrival.kind is CallKind.DRAFT and good and not self._done:
            # The outcome header was sent before the answer. Without `[DONE]`, the
            # stream is not declared complete.
            return "broken"
        if outcome is None:
            outcome = "answered" if good else "refused"
        if outcome == "answered" and not good:
            return "failed"
        if outcome != "answered":
            return outcome
        if not self._is_whole(response):
            self._report.wrong.append(self._arrival.number)
        if self._arrival.kind is CallKind.BOOKING:
            self._report.answered_keys.append(self._arrival.key)
        elapsed = self._clock.monotonic() - self._started
        self._report.whole[self._arrival.kind].add(elapsed.total_seconds())
        return outcome

    def _is_whole(self, response: HTTPResponse) -> bool:
        arrival = self._arrival
        expected = expected_text(arrival.prompt, arrival.max_tokens)
        if arrival.kind is CallKind.DRAFT:
            return "".join(self._texts) == expected
        body = orjson.loads(response.body)
        if arrival.kind is CallKind.WORD:
            return body["choices"][0]["message"]["content"] == expected
        return isinstance(body, dict)

    def _note_token(self) -> None:
        now = self._clock.monotonic()
        if self._last_token is None:
            self._report.first_token.add((now - self._started).total_seconds())
        else:
            gap = now - self._last_token
            self._report.between_tokens.add(gap.total_seconds())
        self._last_token = now
        self._report.tokens += 1
