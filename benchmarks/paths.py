"""Costs of entry and agent compared with a bare one-hop proxy, in the same run.

Both variants use the same engine stand-in and load driver, alternately. Processor time
is read from the kernel, so it includes all threads and logging.
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
DRAFT_TOKENS = 394
"""Tokens of one answer: the planned load is 13 million tokens a second in 33,000
requests."""
DRAFTS = LoadPlan(
    calls=128,
    rate=1e9,
    mix={CallKind.DRAFT: 1.0},
    draft_tokens=(DRAFT_TOKENS, DRAFT_TOKENS),
)
STREAMS = 128
DRAFT_GAP = 0.02
"""Seconds between the tokens of a stream."""
TOKEN_TARGET = 24_000
"""Tokens a second that one node must relay: 13 million over 540 nodes."""
MEMORY_TARGET = 128 * 1024 * 1024
"""Maximum resident memory of an idle process, in bytes."""
REQUEST_BOUND = 1.8
"""Maximum ratio of processor time per request, path to proxy; the goal is 1."""
TOKEN_BOUNDS = {"entry": 1.9, "agent": 1.25}
"""Minimum tokens relayed per CPU second, as a multiple of the proxy's."""


@dataclass(frozen=True, slots=True)
class Sample:
    """One execution of a load plan with one variant."""

    variant: str
    report: LoadReport
    seconds: float
    cpu: dict[str, float]
    """Processor seconds by process."""

    @property
    def answered(self) -> int:
        """Return the number of answered calls."""
        return self.report.count("answered")


async def measure(stack: Stack, variant: str, plan: LoadPlan, callers: int) -> Sample:
    """Execute a load plan with the variant `path`, `proxy` or `engine`."""
    target: LoadTarget = getattr(stack, f"{variant}_target")
    names = {"path": ("entry", "agent"), "proxy": ("proxy",), "engine": ()}[variant]
    driver = LoadDriver(target)
    await driver.start()
    before = {name: stack.children[name].cpu_seconds for name in names}
    started = time.monotonic()
    report = await driver.run_closed(plan, callers)
    seconds = time.monotonic() - started
    cpu = {name: stack.children[name].cpu_seconds - before[name] for name in names}
    await driver.close()
    return Sample(variant, report, seconds, cpu)


async def _measure_requests() -> bool:
    stack = Stack()
    try:
        await stack.start()
        memory = _read_memory(stack)
        samples = [
            await measure(stack, variant, WORDS, CALLERS)
            for _ in range(ROUNDS)
            for variant in ("proxy", "path")
        ]
        later = _read_memory(stack)
    finally:
        await stack.close()
    for sample in samples:
        _show_requests(sample)
    ratio = _sum_cpu(samples, "path") / _sum_cpu(samples, "proxy")
    typer.echo(f"CPU per request, path to proxy: {ratio:.2f}, bound {REQUEST_BOUND}")
    for name, size in memory.items():
        typer.echo(
            f"{name}: {size / 2**20:.0f} MiB resident when idle, bound "
            f"{MEMORY_TARGET / 2**20:.0f}; {later[name] / 2**20:.0f} MiB after the load"
        )
    met = ratio <= REQUEST_BOUND and max(memory.values()) <= MEMORY_TARGET
    return met and _are_complete(samples)


async def _measure_tokens() -> bool:
    stack = Stack(StackOptions(token_gap=DRAFT_GAP))
    try:
        await stack.start()
        samples = [
            await measure(stack, variant, DRAFTS, STREAMS)
            for _ in range(ROUNDS)
            for variant in ("engine", "proxy", "path")
        ]
    finally:
        await stack.close()
    for sample in samples:
        _show_tokens(sample)
    typer.echo(f"target: {TOKEN_TARGET} tokens per CPU second of a node")
    return _meet_token_bounds(samples) and _are_complete(samples)


def _meet_token_bounds(samples: list[Sample]) -> bool:
    base = _rate_tokens(samples, "proxy")
    met = True
    for name, bound in TOKEN_BOUNDS.items():
        ratio = _rate_tokens(samples, name) / base
        typer.echo(
            f"tokens per CPU second, {name} to proxy: {ratio:.2f}, bound {bound}"
        )
        met = met and ratio >= bound
    return met


def _rate_tokens(samples: list[Sample], name: str) -> float:
    used = [sample for sample in samples if name in sample.cpu]
    return sum(sample.report.tokens for sample in used) / sum(
        sample.cpu[name] for sample in used
    )


def _read_memory(stack: Stack) -> dict[str, int]:
    return {name: stack.children[name].memory for name in ("entry", "agent")}


def _sum_cpu(samples: list[Sample], variant: str) -> float:
    return sum(
        sum(sample.cpu.values()) for sample in samples if sample.variant == variant
    )


def _are_complete(samples: list[Sample]) -> bool:
    return all(
        not sample.report.wrong
        and sample.answered == sum(sample.report.outcomes.values())
        for sample in samples
    )


def _show_requests(sample: Sample) -> None:
    costs = ", ".join(
        f"{name} {cpu / sample.answered * 1e3:.3f} ms"
        for name, cpu in sample.cpu.items()
    )
    rate = sample.answered / sample.seconds
    median = sample.report.whole[CallKind.WORD].find_quantile(0.5) * 1e3
    typer.echo(
        f"{sample.variant:6} {rate:7.0f} requests/s, median {median:6.1f} ms, "
        f"CPU per request: {costs}"
    )


def _show_tokens(sample: Sample) -> None:
    rates = ", ".join(
        f"{name} {sample.report.tokens / cpu:.0f}" for name, cpu in sample.cpu.items()
    )
    gaps = sample.report.between_tokens
    typer.echo(
        f"{sample.variant:6} {sample.report.tokens / sample.seconds:7.0f} tokens/s, "
        f"gap mean {gaps.mean * 1e3:.2f} ms, "
        f"p95 {gaps.find_quantile(0.95) * 1e3:.2f} ms"
        + (f"; tokens per CPU second: {rates}" if rates else "")
    )


def run(short: bool) -> bool:
    """Run the benchmark; a short run does nothing, since all figures are times."""
    if short:
        return True
    typer.echo(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    met = asyncio.run(_measure_requests())
    return asyncio.run(_measure_tokens()) and met


if __name__ == "__main__":
    run(short=False)
