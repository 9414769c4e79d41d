"""The decision whether prompts with a part are refused."""

from collections.abc import Iterable, Mapping, Set
from typing import Protocol

__all__ = [
    "MAX_STARTS",
    "REFUSED_AFTER",
    "PartEvidence",
    "find_refused",
    "is_sound",
    "keep_smallest",
    "list_counted",
    "should_refuse",
]

REFUSED_AFTER = 4
"""Crashes from which on a part is refused that no start has answered. All gateways must
know a part after five crashes, of which one may be seen by nobody: the gateway that
sent the request can end with the engine."""
MAX_STARTS = 8
"""Starts of engines that are kept of each kind in one record, to bound its size."""


class PartEvidence(Protocol):
    """What was seen of one part."""

    crashed: frozenset[int]
    """Starts of engines that crashed while they wrote an answer on the part."""
    answered: frozenset[int]
    """Starts of engines that have written an answer on the part."""


def keep_smallest(starts: Iterable[int]) -> frozenset[int]:
    """Return the `MAX_STARTS` smallest keys.

    Merging limited sets in any order gives the same result, as for whole ones.
    """
    return frozenset(sorted(starts)[:MAX_STARTS])


def list_counted(crashed: Set[int], answered: Set[int]) -> Set[int]:
    """Return the starts whose crashes count against a part.

    A start that has written an answer on the part crashed for another reason.

    >>> sorted(list_counted({1, 2, 3}, {2, 7}))
    [1, 3]
    """
    return crashed - answered


def is_sound(answered: Set[int]) -> bool:
    """Return whether so many starts wrote answers on a part that no crash counts."""
    return len(answered) >= MAX_STARTS


def should_refuse(crashed: Set[int], answered: Set[int]) -> bool:
    """Return whether prompts with a part are refused.

    Guards also against refusing a part that sound prompts share: it is in flight in
    crashes, but other starts answer it, and each of them outweighs a crash.

    >>> should_refuse({1, 2, 3, 4}, set())
    True
    >>> should_refuse({1, 2, 3, 4}, {5})
    False
    """
    counted = len(list_counted(crashed, answered))
    return counted >= REFUSED_AFTER + len(answered)


def find_refused(evidence: Mapping[int, PartEvidence]) -> set[int]:
    """Return the parts on which prompts are refused.

    The crashes of a refused part explain those of other parts that more starts have
    answered. Guards against refusing the first part of a tenant because it is in each
    prompt with the part that crashes engines.
    """
    refused: set[int] = set()
    for part in sorted(evidence, key=lambda part: (len(evidence[part].answered), part)):
        seen = evidence[part]
        explained = frozenset().union(
            *(
                evidence[other].crashed
                for other in refused
                if len(evidence[other].answered) < len(seen.answered)
            )
        )
        if should_refuse(seen.crashed - explained, seen.answered):
            refused.add(part)
    return refused
