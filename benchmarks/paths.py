"""Paths: what entry and agent cost beside a bare one-hop proxy, in the same run.

Both ways lead to the same engine stand-in and are driven by the same load driver,
in turns. Processor time comes from the kernel, so it counts all threads, logs too.
"""

import asyncio
import os
import time
from dataclasses import dataclass

import typer

from mustardquay_standins.loads import (
    CallKind,
    LoadDriver,
    LoadPlan,
    LoadReport,
    LoadTarget,
)
from mustardquay_standins.stacks import Stack, StackOptions

__all__ = ["measure", "run"]

ROUNDS = 2
WORDS = LoadPlan(
    calls=1000, rate=1e9, mix={CallKind.WORD: 1.0}, prompt_words=(200, 400)
)
CALLERS = 32
DRAFTS = LoadPlan(
    calls=256, rate=1e9, mix={CallKind.DRAFT: 1.0}, draft_tokens=(100, 100)
)
STREAMS = 128
DRAFT_GAP = 0.02
TOKEN_TARGET = 24_000
"""Tokens a second that one node must relay."""
MEMORY_TARGET = 128 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Sample:
    """One turn of a plan over one way."""

    way: str
    report: LoadReport
    seconds: float
    cpu: dict[str, float]
    """Processor seconds by process."""

    @property
    def answered(self) -> int:
        """Return how many calls were answered."""
        return self.report.count("answered")


async def measure(stack: Stack, way: str, plan: LoadPlan, callers: int) -> Sample:
    """Carry out a plan over `path`, `proxy` or `engine`."""
    target: LoadTarget = getattr(stack, f"{way}_target")
    names = {"path": ("entry", "agent"), "proxy": ("proxy",), "engine": ()}[way]
    driver = LoadDriver(target)
    await driver.start()
    before = {name: stack.children[name].cpu_seconds for name in names}
    started = time.monotonic()
    report = await driver.run_closed(plan, callers)
    seconds = time.monotonic() - started
    cpu = {name: stack.children[name].cpu_seconds - before[name] for name in names}
    await driver.close()
    return Sample(way, report, seconds, cpu)


async def _measure_requests() -> bool:
    stack = Stack()
    try:
        await stack.start()
        memory = {name: stack.children[name].memory for name in ("entry", "agent")}
        samples = [
            await measure(stack, way, WORDS, CALLERS)
            for _ in range(ROUNDS)
            for way in ("proxy", "path")
        ]
    finally:
        await stack.close()
    for sample in samples:
        _show_requests(sample)
    ratio = _sum_cpu(samples, "path") / _sum_cpu(samples, "proxy")
    typer.echo(f"CPU per request, path to proxy: {ratio:.2f}")
    for name, size in memory.items():
        typer.echo(f"idle {name}: {size / 2**20:.1f} MiB resident")
    return _are_whole(samples) and max(memory.values()) < MEMORY_TARGET


async def _measure_tokens() -> bool:
    stack = Stack(StackOptions(token_gap=DRAFT_GAP))
    try:
        await stack.start()
        samples = [
            await measure(stack, way, DRAFTS, STREAMS)
            for _ in range(ROUNDS)
            for way in ("engine", "proxy", "path")
        ]
    finally:
        await stack.close()
    for sample in samples:
        _show_tokens(sample)
    return _are_whole(samples)


def _sum_cpu(samples: list[Sample], way: str) -> float:
    return sum(sum(one.cpu.values()) for one in samples if one.way == way)


def _are_whole(samples: list[Sample]) -> bool:
    return all(
        not one.report.wrong and one.answered == sum(one.report.outcomes.values())
        for one in samples
    )


def _show_requests(sample: Sample) -> None:
    costs = ", ".join(
        f"{name} {cpu / sample.answered * 1e3:.3f} ms"
        for name, cpu in sample.cpu.items()
    )
    rate = sample.answered / sample.seconds
    median = sample.report.whole[CallKind.WORD].find_quantile(0.5) * 1e3
    typer.echo(
        f"{sample.way:6} {rate:7.0f} requests/s, median {median:6.1f} ms, "
        f"CPU per request: {costs}"
    )


def _show_tokens(sample: Sample) -> None:
    rates = ", ".join(
        f"{name} {sample.report.tokens / cpu:.0f}" for name, cpu in sample.cpu.items()
    )
    gaps = sample.report.between_tokens
    typer.echo(
        f"{sample.way:6} {sample.report.tokens / sample.seconds:7.0f} tokens/s, gap "
        f"mean {gaps.mean * 1e3:.2f} ms, p95 {gaps.find_quantile(0.95) * 1e3:.2f} ms"
        + (f"; tokens per CPU second: {rates}" if rates else "")
    )


def run(short: bool) -> bool:
    """Run the benchmark; the short one has nothing, since all of it are times."""
    if short:
        return True
    typer.echo(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    good = asyncio.run(_measure_requests())
    return asyncio.run(_measure_tokens()) and good


if __name__ == "__main__":
    run(short=False)
