"""Splitting of a JSON object into its members and the items of its long lists.

Only where each part begins and ends is found here: what a part contains is for its
reader to decode and to validate.
"""

import re
from collections.abc import Collection, Generator, Iterator
from dataclasses import dataclass
from json import JSONDecoder

__all__ = ["JsonItems", "JsonMember", "split_document"]

BATCH_CHARACTERS = 4096
"""Characters in one batch of items, which take some 0.3 ms to decode."""

_skip_whitespace = re.compile(r"[ \t\n\r]*").match
_match_separator = re.compile(r"[ \t\n\r]*(?:,[ \t\n\r]*|(\]))").match
"""Matches what follows an item; the group is set after the last one."""
_scan_value = JSONDecoder().raw_decode


@dataclass(slots=True)
class JsonMember:
    """A member of the object, in place of an earlier one of the same name."""

    name: str
    raw: str
    """The text of its value; `[]` for a list whose items follow."""


@dataclass(slots=True)
class JsonItems:
    """The next items of the list that was begun last."""

    raws: list[str]
    """Their texts, some `BATCH_CHARACTERS` long together."""


def split_document(
    text: str, lists: Collection[str]
) -> Iterator[JsonMember | JsonItems]:
    """Yield the members of an object; the items of `lists` follow in batches.

    Raises `ValueError` at the first place that isn't JSON.

    >>> for part in split_document('{"a": [1, {"b": 2}], "c": [3]}', {"a"}):
    ...     print(part)
    JsonMember(name='a', raw='[]')
    JsonItems(raws=['1', '{"b": 2}'])
    JsonMember(name='c', raw='[3]')
    """
    position = _expect(text, _skip(text, 0), "{")
    if text[position : position + 1] == "}":
        position += 1
    else:
        position = yield from _split_members(text, position, lists)
    if _skip(text, position) != len(text):
        raise ValueError(f"unexpected text after the document at {position}")


def _split_members(
    text: str, position: int, lists: Collection[str]
) -> Generator[JsonMember | JsonItems, None, int]:
    while True:
        if text[position : position + 1] != '"':
            raise ValueError(f"a name is missing at {position}")
        name, position = _scan_value(text, position)
        position = _expect(text, _skip(text, position), ":")
        if name in lists and text[position : position + 1] == "[":
            yield JsonMember(name, "[]")
            position = yield from _split_items(text, _skip(text, position + 1))
        else:
            end = _find_end(text, position)
            yield JsonMember(name, text[position:end])
            position = end
        position = _skip(text, position)
        if text[position : position + 1] == "}":
            return position + 1
        position = _expect(text, position, ",")


def _split_items(text: str, position: int) -> Generator[JsonItems, None, int]:
    if text[position : position + 1] == "]":
        return position + 1
    is_last = False
    while not is_last:
        raws = []
        limit = position + BATCH_CHARACTERS
        while position < limit and not is_last:
            end = _find_end(text, position)
            raws.append(text[position:end])
            separator = _match_separator(text, end)
            if separator is None:
                raise ValueError(f"',' or ']' is missing at {end}")
            position = separator.end()
            is_last = separator.lastindex is not None
        yield JsonItems(raws)
    return position


def _find_end(text: str, position: int) -> int:
    try:
        return _scan_value(text, position)[1]
    except RecursionError:
        raise ValueError(f"the value at {position} is nested too deeply") from None


def _skip(text: str, position: int) -> int:
    """Return the position of the next character that isn't whitespace."""
    return _skip_whitespace(text, position).end()


def _expect(text: str, position: int, character: str) -> int:
    """Return the position after a character and the whitespace behind it."""
    if text[position : position + 1] != character:
        raise ValueError(f"{character!r} is missing at {position}")
    return _skip(text, position + 1)
