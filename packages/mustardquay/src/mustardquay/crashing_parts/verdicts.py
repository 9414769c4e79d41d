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
    depth: int
    """Its position in prompts, from 0: the first part is shared by most of them."""


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

    The crashes of a refused part explain those of parts that it comes with. Guards
    against refusing the first part of a tenant because it is in each prompt with the
    part that crashes engines.
    """
    refused: set[int] = set()
    for part in sorted(evidence, key=lambda part: _get_rank(part, evidence[part])):
        seen = evidence[part]
        explaining = [evidence[each] for each in refused]
        explained = frozenset().union(
            *(each.crashed for each in explaining if _explains(each, seen))
        )
        if _is_bad(seen, seen.crashed - explained):
            refused.add(part)
    return refused


def _get_rank(part: int, seen: PartEvidence) -> tuple[int, int, int]:
    """Return a key by which parts that explain the crashes of others come first."""
    return (len(seen.answered), -seen.depth, part)


def _explains(refused: PartEvidence, seen: PartEvidence) -> bool:
    """Return whether a refused part may be the cause of another one's crashes.

    It was answered by fewer starts, or neither by any: then the later one in prompts
    is the likelier cause, and if it is not, the next prompt without it shows that.
    """
    if len(refused.answered) < len(seen.answered):
        return True
    return not seen.answered and refused.depth > seen.depth


def _is_bad(seen: PartEvidence, unexplained: Set[int]) -> bool:
    if seen.answered:
        return should_refuse(unexplained, seen.answered)
    return bool(unexplained) and should_refuse(seen.crashed, seen.answered)
