"""Costs: step times of a model engine, computed from the composition of its batch.

The engine uses continuous batching and splits long prompts over steps (chunked
prefill). A step reads the weights once, independent of the batch, and does the
arithmetic of every token in it; the longer of the two counts. Attention over the
context of each token and a fixed overhead are added.

Sources of the figures, none of which was measured here: `ModelShape` has the
published dimensions of an open dense model of 70 billion parameters with
grouped-query attention (80 layers, hidden size 8192, 8 key-value heads of 128, 16
bits). `Hardware` has data sheet figures of four accelerators of the 80 GB class, and
the fractions of them that serving engines are commonly reported to reach: half of
the arithmetic and 0.7 of the bandwidth. That a step costs the larger of arithmetic
and weight reads is the roofline model (Williams et al., CACM 2009); that a mixed
step delays the tokens of all others in it follows Agrawal et al., "Sarathi-Serve",
OSDI 2024. `ChangeTimes` are assumptions: a few seconds for a role change, and weights
loaded at 2 GB/s.

All functions are pure.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from mustardquay import Role
from mustardquay.caches import PIECE_TOKENS

__all__ = [
    "Batch",
    "ChangeTimes",
    "EngineCosts",
    "Hardware",
    "ModelShape",
    "derive_costs",
    "estimate_decode_rate",
    "estimate_prefill_rate",
    "estimate_step_time",
    "estimate_transfer_time",
]

BYTES_PER_PARAMETER = 2


@dataclass(frozen=True, slots=True)
class ModelShape:
    """Dimensions of a dense model."""

    parameters: float = 70.6e9
    layers: int = 80
    hidden: int = 8192
    key_value_heads: int = 8
    head_size: int = 128

    @property
    def weight_bytes(self) -> float:
        """Return the size of the weights."""
        return self.parameters * BYTES_PER_PARAMETER

    @property
    def cache_bytes(self) -> int:
        """Return the size of the KV cache of one token."""
        heads = self.key_value_heads * self.head_size
        return 2 * self.layers * heads * BYTES_PER_PARAMETER


@dataclass(frozen=True, slots=True)
class Hardware:
    """The accelerators of one engine; figures are totals unless stated otherwise."""

    accelerators: int = 4
    operations: float = 989e12
    """Floating-point operations per second of one accelerator, 16 bits, dense."""
    bandwidth: float = 3.35e12
    """Memory bandwidth of one accelerator in bytes per second."""
    memory: float = 80e9
    """Memory of one accelerator in bytes."""
    usable_operations: float = 0.5
    usable_bandwidth: float = 0.7
    usable_memory: float = 0.9
    network: float = 25e9
    """Bytes per second between two engines."""


@dataclass(frozen=True, slots=True)
class ChangeTimes:
    """Durations for which a change makes an engine unavailable; assumptions."""

    role: timedelta = timedelta(seconds=5)
    adapter: timedelta = timedelta(milliseconds=300)
    weights_rate: float = 2e9
    """Bytes per second from the weight store."""


@dataclass(frozen=True, slots=True)
class EngineCosts:
    """The cost model of one engine; times are in seconds."""

    overhead: float
    """Per step, for scheduling and communication between accelerators."""
    weight_read: float
    """Per step, to read the weights."""
    token: float
    """Arithmetic for one token, of a prompt or of an answer."""
    attended: float
    """Arithmetic for one token of context that a token of a prompt attends to."""
    cache_read: float
    """Reading one token of context for a sequence that is decoding."""
    cache_tokens: int
    """Capacity of the KV cache in tokens, for running requests and cached prefixes."""
    cache_bytes: int
    """Bytes of KV cache of one token."""
    network: float
    """Bytes per second between two engines."""
    role_change: timedelta
    adapter_load: timedelta
    model_load: timedelta
    chunk: Mapping[Role, int] = field(
        default_factory=lambda: {Role.PREFILL: 8192, Role.MIXED: 512, Role.DECODE: 128}
    )
    """Maximum prompt tokens in one step, by role."""
    batch_limit: int = 256
    """Maximum sequences in one batch."""

    @property
    def cache_pieces(self) -> int:
        """Return the capacity of the prefix cache in pieces of prompt."""
        return self.cache_tokens // PIECE_TOKENS


@dataclass(frozen=True, slots=True)
class Batch:
    """The work of one step."""

    prefill_tokens: int = 0
    attended_tokens: int = 0
    """Sum, over these prompt tokens, of the context that each attends to."""
    sequences: int = 0
    """Sequences that get a token in this step."""
    context_tokens: int = 0
    """Sum of the lengths of these sequences: prompt, and answer so far."""


def derive_costs(
    shape: ModelShape | None = None,
    hardware: Hardware | None = None,
    changes: ChangeTimes | None = None,
    overhead: timedelta = timedelta(milliseconds=2),
) -> EngineCosts:
    """Derive the cost model from a model, accelerators and durations of changes.

    >>> derive_costs().cache_pieces
    223
    """
    shape = shape or ModelShape()
    hardware = hardware or Hardware()
    changes = changes or ChangeTimes()
    count = hardware.accelerators
    operations = count * hardware.operations * hardware.usable_operations
    bandwidth = count * hardware.bandwidth * hardware.usable_bandwidth
    memory = count * hardware.memory * hardware.usable_memory - shape.weight_bytes
    return EngineCosts(
        overhead=overhead.total_seconds(),
        weight_read=shape.weight_bytes / bandwidth,
        token=2 * shape.parameters / operations,
        attended=4 * shape.layers * shape.hidden / operations,
        cache_read=shape.cache_bytes / bandwidth,
        cache_tokens=int(memory / shape.cache_bytes),
        cache_bytes=shape.cache_bytes,
        network=hardware.network,
        role_change=changes.role,
        adapter_load=changes.adapter,
        model_load=timedelta(seconds=shape.weight_bytes / changes.weights_rate),
    )


def estimate_step_time(costs: EngineCosts, batch: Batch) -> timedelta:
    """Return the time of one step.

    >>> costs = derive_costs()
    >>> alone = estimate_step_time(costs, Batch(sequences=1, context_tokens=2000))
    >>> many = estimate_step_time(costs, Batch(sequences=64, context_tokens=128_000))
    >>> alone < many < 2 * alone
    True
    """
    arithmetic = (batch.prefill_tokens + batch.sequences) * costs.token
    seconds = (
        costs.overhead
        + max(costs.weight_read, arithmetic)
        + batch.attended_tokens * costs.attended
        + batch.context_tokens * costs.cache_read
    )
    return timedelta(seconds=seconds)


def estimate_prefill_rate(
    costs: EngineCosts, role: Role, prompt_tokens: int = 8000
) -> float:
    """Return the prompt tokens per second of an engine that only prefills.

    >>> costs = derive_costs()
    >>> mixed = estimate_prefill_rate(costs, Role.MIXED)
    >>> mixed < estimate_prefill_rate(costs, Role.PREFILL)
    True
    """
    tokens = costs.chunk[role]
    batch = Batch(prefill_tokens=tokens, attended_tokens=tokens * prompt_tokens // 2)
    return tokens / estimate_step_time(costs, batch).total_seconds()


def estimate_decode_rate(
    costs: EngineCosts, sequences: int, context_tokens: int = 2000
) -> float:
    """Return the tokens per second of each of `sequences` of equal length."""
    batch = Batch(sequences=sequences, context_tokens=sequences * context_tokens)
    return 1.0 / estimate_step_time(costs, batch).total_seconds()


def estimate_transfer_time(costs: EngineCosts, tokens: int) -> timedelta:
    """Return the time to transfer the KV cache of `tokens` to another engine."""
    return timedelta(seconds=tokens * costs.cache_bytes / costs.network)
