"""Admission: what a contract allows, and how much each customer has used.

Usage is counted in engine seconds and decays exponentially, so that a customer's
fraction of the fleet's usage is comparable to its share at any time, and an idle
customer takes no memory. Nodes exchange digests of their own usage; a digest replaces
the previous one of the same node, so that lost and duplicate digests are harmless.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import nlargest

from .contracts import Contract
from .errors import Reason, Refusal

__all__ = ["Deadlines", "UsageDigest", "UsageMeter", "check_contract", "set_deadlines"]

NEGLIGIBLE_SECONDS = 1e-3
DIGEST_CUSTOMERS = 64
DIGEST_LIFETIME = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class Deadlines:
    """Monotonic times by which a request must start and finish to meet its contract."""

    start_by: timedelta
    finish_by: timedelta


def set_deadlines(contract: Contract, arrived: timedelta) -> Deadlines:
    """Return the deadlines implied by the contract's tolerated lateness."""
    lateness = contract.lateness
    finish_by = arrived + lateness.whole
    return Deadlines(min(arrived + lateness.first_token, finish_by), finish_by)


def check_contract(contract: Contract, model: str, adapter: str = "") -> Refusal | None:
    """Return a refusal if the contract lacks the model, plain service or adapter."""
    if model not in contract.models and model not in contract.services:
        return Refusal(
            Reason.CONTRACT,
            f"The contract of {contract.customer} does not include {model}; "
            "ask for one of its models or have the contract amended.",
        )
    if adapter and adapter not in contract.adapters:
        return Refusal(
            Reason.CONTRACT,
            f"The contract of {contract.customer} does not include the adapter "
            f"{adapter}; leave it out or have the contract amended.",
        )
    return None


@dataclass(frozen=True, slots=True)
class UsageDigest:
    """Usage seen by one node: the decayed engine seconds of its largest customers."""

    node: str
    number: int
    seconds: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class _DecayedUsage:
    seconds: float
    at: timedelta


class UsageMeter:
    """Counts engine seconds per customer with exponential decay.

    `memory` is the time constant of the decay. The state is bounded: at most
    `capacity` customers and `capacity` nodes; the customers with the least usage are
    evicted first.
    """

    def __init__(
        self,
        node: str = "",
        memory: timedelta = timedelta(seconds=20),
        capacity: int = 4096,
    ):
        self._node = node
        self._memory = memory
        self._capacity = capacity
        self._used: dict[str, _DecayedUsage] = {}
        self._digests: dict[str, tuple[timedelta, UsageDigest]] = {}
        self._peer_usage: dict[str, float] = {}
        self._number = 0

    def charge(self, customer: str, seconds: float, now: timedelta) -> None:
        """Add engine seconds; a negative charge corrects an earlier estimate."""
        seconds = max(self._read(customer, now) + seconds, 0.0)
        self._used[customer] = _DecayedUsage(seconds, now)
        if len(self._used) > self._capacity:
            self._evict_smallest(now)

    def rate(self, customer: str, now: timedelta) -> float:
        """Return the customer's fleet-wide usage as a number of fully used engines."""
        seconds = self._read(customer, now) + self._peer_usage.get(customer, 0.0)
        return seconds / self._memory.total_seconds()

    def digest(self, now: timedelta) -> UsageDigest:
        """Return this node's own usage, to be sent to the other nodes."""
        used = {name: self._read(name, now) for name in self._used}
        largest = nlargest(DIGEST_CUSTOMERS, used.items(), key=lambda pair: pair[1])
        self._number += 1
        kept = {name: value for name, value in largest if value > NEGLIGIBLE_SECONDS}
        return UsageDigest(self._node, self._number, kept)

    def merge(self, digest: UsageDigest, now: timedelta) -> None:
        """Store another node's digest unless a newer one is stored already."""
        known = self._digests.get(digest.node)
        if digest.node == self._node or (known and known[1].number >= digest.number):
            return
        self._digests[digest.node] = (now, digest)
        self._drop_old_digests(now)
        self._peer_usage = self._sum_peer_usage()

    def _drop_old_digests(self, now: timedelta) -> None:
        # A node that has died no longer uses anything; its last digest would otherwise
        # count against its customers forever.
        oldest = now - DIGEST_LIFETIME
        fresh = {n: kept for n, kept in self._digests.items() if kept[0] >= oldest}
        while len(fresh) > self._capacity:
            fresh.pop(next(iter(fresh)))
        self._digests = fresh

    def _sum_peer_usage(self) -> dict[str, float]:
        total: dict[str, float] = {}
        for _, digest in self._digests.values():
            for customer, seconds in digest.seconds.items():
                total[customer] = total.get(customer, 0.0) + seconds
        return total

    def _read(self, customer: str, now: timedelta) -> float:
        used = self._used.get(customer)
        if used is None:
            return 0.0
        return used.seconds * math.exp(-max((now - used.at) / self._memory, 0.0))

    def _evict_smallest(self, now: timedelta) -> None:
        used = {name: self._read(name, now) for name in self._used}
        kept = nlargest(self._capacity * 3 // 4, used, key=used.__getitem__)
        self._used = {name: self._used[name] for name in kept}
