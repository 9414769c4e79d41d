"""Costs: how long a model engine takes, from the make-up of its batch.

The engine is one that batches continuously and splits long prompts over steps
(chunked prefill). A step reads the weights once, whatever is in the batch, and
does the arithmetic of every token in it; whichever takes longer counts. To that
come attention over the context of each token and a fixed overhead.

Where the figures come from. None was measured here. `ModelShape` has the published
dimensions of an open dense model of 70 billion parameters with grouped-query
attention (80 layers, hidden size 8192, 8 key-value heads of 128, 16 bits).
`Hardware` has the data sheet's figures of four accelerators of the 80 GB class, and
the parts of them that serving engines are commonly reported to reach: half of
the arithmetic and 0.7 of the bandwidth. That a step costs the larger of arithmetic
and weight reads is the roofline model (Williams et al., CACM 2009); that a mixed
step delays the tokens of all others in it follows Agrawal et al., "Sarathi-Serve",
OSDI 2024. `Changes` are assumptions: "seconds" for a role change, and weights at
2 GB/s.

All functions are pure.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from mustardquay import Role
from mustardquay.caches import PIECE_TOKENS

__all__ = [
    "Batch",
    "Changes",
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
    """The accelerators of one engine, taken together where not said otherwise."""

    accelerators: int = 4
    operations: float = 989e12
    """Floating-point operations a second of one accelerator, 16 bits, dense."""
    bandwidth: float = 3.35e12
    """Bytes a second of one accelerator's memory."""
    memory: float = 80e9
    """Bytes of one accelerator."""
    usable_operations: float = 0.5
    usable_bandwidth: float = 0.7
    usable_memory: float = 0.9
    network: float = 25e9
    """Bytes a second between two engines."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Time for which a change takes an engine away; assumptions."""

    role: timedelta = timedelta(seconds=5)
    adapter: timedelta = timedelta(milliseconds=300)
    weights_rate: float = 2e9
    """Bytes a second from the weight store."""


@dataclass(frozen=True, slots=True)
class EngineCosts:
    """The cost model of one engine; times in seconds, derived once."""

    overhead: float
    """Of each step, for scheduling and exchange between accelerators."""
    weight_read: float
    """Of each step, to read the weights."""
    token: float
    """Arithmetic for one token, of a prompt or of an answer."""
    attended: float
    """Arithmetic for one token of context that a token of a prompt attends to."""
    cache_read: float
    """Reading one token of context for a sequence that decodes."""
    cache_tokens: int
    """Tokens of KV cache that there is room for, running and kept prefixes."""
    cache_bytes: int
    """Bytes of KV cache of one token."""
    network: float
    """Bytes a second between two engines."""
    role_change: timedelta
    adapter_load: timedelta
    model_load: timedelta
    chunk: Mapping[Role, int] = field(
        default_factory=lambda: {Role.PREFILL: 8192, Role.MIXED: 512, Role.DECODE: 128}
    )
    """Most prompt tokens in one step, by role."""
    batch_limit: int = 256
    """Most sequences that run at once."""

    @property
    def cache_pieces(self) -> int:
        """Return how many pieces of prompt there is room for."""
        return self.cache_tokens // PIECE_TOKENS


@dataclass(frozen=True, slots=True)
class Batch:
    """What one step works on."""

    prefill_tokens: int = 0
    attended_tokens: int = 0
    """Sum, over these prompt tokens, of the context that each attends to."""
    sequences: int = 0
    """Sequences that get a token in this step."""
    context_tokens: int = 0
    """Sum of the lengths of these sequences, prompt and answer so far."""


def derive_costs(
    shape: ModelShape | None = None,
    hardware: Hardware | None = None,
    changes: Changes | None = None,
    overhead: timedelta = timedelta(milliseconds=2),
) -> EngineCosts:
    """Work out the costs of a model on some accelerators.

    >>> derive_costs().cache_pieces
    223
    """
    shape = shape or ModelShape()
    hardware = hardware or Hardware()
    changes = changes or Changes()
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
    """Return the prompt tokens a second of an engine that only prefills.

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
    """Return the tokens a second of each of some sequences of the same length."""
    batch = Batch(sequences=sequences, context_tokens=sequences * context_tokens)
    return 1.0 / estimate_step_time(costs, batch).total_seconds()


def estimate_transfer_time(costs: EngineCosts, tokens: int) -> timedelta:
    """Return the time to move the KV cache of so many tokens to another engine."""
    return timedelta(seconds=tokens * costs.cache_bytes / costs.network)
