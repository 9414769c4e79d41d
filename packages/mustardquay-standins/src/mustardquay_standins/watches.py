"""Watches: requests that a test starts, follows through a fault and checks."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .answers import expected_text, hash_prompt
from .clients import Answer, SiteClient, read_stream_text
from .sites import Site

__all__ = [
    "WatchedStream",
    "count_calls",
    "count_runs",
    "send_call",
    "start_call",
    "start_stream",
    "wait_until",
]

TOKENS = 150
TEST_TIMEOUT = 30.0
"""Seconds after which a test that waits has failed."""


@dataclass(slots=True)
class WatchedStream:
    """A streamed answer in progress, and the upstream that generates it."""

    prompt: str
    upstream: str
    task: "asyncio.Task[Answer]"

    async def check_whole(self) -> Answer:
        """Check that the caller got every token exactly once; return the answer."""
        async with asyncio.timeout(TEST_TIMEOUT):
            answer = await self.task
        assert answer.status == 200
        text = expected_text(self.prompt, TOKENS)
        assert read_stream_text(answer.body) == (text, True)
        return answer


async def start_stream(
    site: Site, client: SiteClient, prompt: str, entry: int = 0
) -> WatchedStream:
    """Start a stream; returns once its first tokens have reached the caller."""
    began = asyncio.Event()
    url = list(site.entries.values())[entry].url
    body = {
        "model": site.customer.models[0],
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    before = {name: engine.running for name, engine in site.engines.items()}
    call = client.call(
        "POST", f"{url}/v1/chat/completions", body, on_data=lambda data: began.set()
    )
    task = asyncio.create_task(call)
    async with asyncio.timeout(TEST_TIMEOUT):
        await began.wait()
    upstream = next(
        name for name, engine in site.engines.items() if engine.running > before[name]
    )
    return WatchedStream(prompt, upstream, task)


async def start_call(
    site: Site, client: SiteClient, key: str, entry: int = 0
) -> "tuple[asyncio.Task[Answer], str]":
    """Start a non-idempotent call; returns it and the service that executes it."""
    task = asyncio.create_task(send_call(site, client, key, entry))
    await wait_until(lambda: any(s.counters.running for s in site.services.values()))
    name = next(n for n, s in site.services.items() if s.counters.running)
    return task, name


async def send_call(site: Site, client: SiteClient, key: str, entry: int = 0) -> Answer:
    """Send a non-idempotent call, with the same body for the same key."""
    url = list(site.entries.values())[entry].url
    service = site.customer.services[0]
    path = f"{url}/services/{service}/{service}"
    body, headers = {"text": f"call {key}"}, {"Idempotency-Key": key}
    return await client.call("POST", path, body, headers)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds; fails the test after `TEST_TIMEOUT`."""
    async with asyncio.timeout(TEST_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.01)


def count_runs(site: Site, prompt: str) -> int:
    """Return the number of generations that engines started for this prompt."""
    digest = hash_prompt(prompt)
    return sum(
        engine.counters.runs_by_prompt[digest] for engine in site.engines.values()
    )


def count_calls(site: Site, key: str) -> int:
    """Return how often services executed the call with this key."""
    return sum(service.counters.by_key[key] for service in site.services.values())
