"""The decision whether prompts with a part are refused."""

from collections.abc import Iterable, Mapping, Set
from typing import Protocol

__all__ = [
    "MAX_STARTS",
    "REFUSED_AFTER",
    "PartEvidence",
    "explains",
    "find_refused",
    "is_suspicious",
    "is_sound",
    "keep_smallest",
    "list_counted",
    "should_refuse",
]

REFUSED_AFTER = 4
"""Crashes from which on a part is refused that no start has answered. All gateways must
know a part after five crashes, of which one may be seen by nobody: the gateway that
sent the request can end with the engine."""
EXPLAINS_FROM = REFUSED_AFTER - 1
"""Crashes from which on a part may explain those of another one that has just enough: a
crash of its own may have been seen by nobody."""
CERTAIN_AFTER = 5
"""Crashes from which on only refused parts explain those of others, as after so many
the cause must be refused."""
UNEXPLAINED_CRASHES = 2
"""Crashes without the refused part that refuse another one which no start has answered.
One may lack it because nobody saw the refused part in flight, while the network had cut
off a stream on the other one right before."""
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
    has_crashed_apart: bool
    """Whether it crashed an engine without the refused parts that it had come with."""


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


def is_suspicious(crashed: Set[int], answered: Set[int]) -> bool:
    """Return whether a part is refused, or may explain the crashes of another one."""
    counted = len(list_counted(crashed, answered))
    return counted >= EXPLAINS_FROM + len(answered)


def find_refused(evidence: Mapping[int, PartEvidence]) -> set[int]:
    """Return the parts on which prompts are refused, of those that are suspicious.

    The crashes of a refused part explain those of parts that it comes with. Guards
    against refusing the first part of a tenant because it is in each prompt with the
    part that crashes engines.
    """
    refused: set[int] = set()
    suspects = evidence.values()
    for part in sorted(evidence, key=lambda part: _get_rank(part, evidence[part])):
        seen = evidence[part]
        if not should_refuse(seen.crashed, seen.answered):
            continue
        explaining = [evidence[each] for each in refused]
        explained = frozenset().union(
            *(each.crashed for each in explaining if explains(each, seen))
        )
        if _is_bad(seen, explained) and not _may_be_explained(seen, suspects):
            refused.add(part)
    return refused


def explains(cause: PartEvidence, seen: PartEvidence) -> bool:
    """Return whether a part may be the cause of another one's crashes.

    It was answered by fewer starts, or neither by any: then the later one in prompts
    is the likelier cause, and if it is not, the next prompt without it shows that.
    """
    if len(cause.answered) < len(seen.answered):
        return True
    return not seen.answered and cause.depth > seen.depth


def _get_rank(part: int, seen: PartEvidence) -> tuple[int, int, int]:
    """Return a key by which parts that explain the crashes of others come first."""
    return (len(seen.answered), -seen.depth, part)


def _is_bad(seen: PartEvidence, explained: Set[int]) -> bool:
    unexplained = seen.crashed - explained
    if seen.answered:
        return should_refuse(unexplained, seen.answered)
    if unexplained == seen.crashed or seen.has_crashed_apart:
        return bool(unexplained)
    return len(unexplained) >= UNEXPLAINED_CRASHES


def _may_be_explained(seen: PartEvidence, suspects: Iterable[PartEvidence]) -> bool:
    """Return whether a part is to wait for another crash.

    A part that is one crash short of its refusal may be the cause of all of them.
    """
    if seen.answered or len(seen.crashed) >= CERTAIN_AFTER:
        return False
    return any(
        explains(each, seen) and len(each.crashed & seen.crashed) >= EXPLAINS_FROM
        for each in suspects
    )
