"""Cost model of the duration of one step of a model engine.

The figures are calculated for a dense model of 70 billion parameters in 16 bits with
grouped-query attention (80 layers, width 8192, 8 key-value heads of 128) on four
accelerators of the class "1 PFLOP/s dense, 80 GB, 3.35 TB/s" (from data sheets), at
half of the peak arithmetic and 70% of the peak bandwidth:

- Prefill: 2 x 70e9 operations a token against 4 x 0.99e15 / 2 a second: 14,000 tokens
  a second. Attention adds 2.6e6 operations a token for each token before it, so that
  a prompt of n tokens costs n / 107,000 / 2 more.
- Each step reads the weights once: 140 GB at 9.4 TB/s is 15 ms, and 3 ms are assumed
  for launches and communication: 18 ms. Arithmetic is added to it, not overlapped, as
  in linear fits to measured steps (Agrawal et al., Vidur, MLSys 2024).
- A stream reads its KV cache in each step, 328 kB a token: 35 ns a token; sampling and
  scheduling are assumed to take 0.1 ms a stream.
- Roles limit the prompt tokens of a step and the concurrent streams. 512 is the budget
  that Agrawal et al. (Sarathi-Serve, OSDI 2024) use with a limit of gaps between
  tokens similar to that of these contracts; 8192 is a whole prompt; 256 allows twice
  the streams.
- A role change restarts the engine's scheduler: 5 s, and its prefix cache is lost.

None of these figures was measured on an engine; replace them by those of your engines.
"""

from dataclasses import dataclass

from mustardquay.works import Role

__all__ = [
    "CACHE_PIECES",
    "CHANGE_SECONDS",
    "MIN_DECODE_SECONDS",
    "PREFILL_SECONDS",
    "ROLE_COSTS",
    "RoleCosts",
    "length_factor",
    "step_seconds",
]

STEP_SECONDS = 0.018
PREFILL_SECONDS = 1 / 14_000
STREAM_SECONDS = 0.0001
CONTEXT_SECONDS = 35e-9
ATTENTION_TOKENS = 107_000
CHANGE_SECONDS = 5.0
CACHE_PIECES = 40
"""Capacity of the prefix cache, in pieces of about 2,000 tokens."""


@dataclass(frozen=True, slots=True)
class RoleCosts:
    """The limits of a step in a role."""

    chunk_tokens: int
    streams: int


ROLE_COSTS = {
    Role.PREFILL: RoleCosts(chunk_tokens=8192, streams=8),
    Role.MIXED: RoleCosts(chunk_tokens=512, streams=48),
    Role.DECODE: RoleCosts(chunk_tokens=256, streams=96),
}

MAX_STREAMS = max(costs.streams for costs in ROLE_COSTS.values())
MIN_DECODE_SECONDS = STEP_SECONDS / MAX_STREAMS + STREAM_SECONDS
"""Minimum engine time of one output token, whatever the role and the batch."""


def length_factor(prompt_tokens: int) -> float:
    """Return the mean cost of a token in a prompt of this length, relative to a short
    prompt."""
    return 1.0 + prompt_tokens / ATTENTION_TOKENS / 2


def step_seconds(prompt_tokens: float, streams: int, context_tokens: float) -> float:
    """Return the time of a step that prefills and decodes a token of each stream."""
    return (
        STEP_SECONDS
        + prompt_tokens * PREFILL_SECONDS
        + streams * STREAM_SECONDS
        + context_tokens * CONTEXT_SECONDS
    )
