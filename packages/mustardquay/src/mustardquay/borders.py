"""Borders: where bytes of other writers become typed values.

A value that can't be read must cost nothing but itself, whatever is wrong with it: a
number beyond a range, text of another encoding, nesting without end. Decoders have
no state, so that each of their errors can become the one error of their border.
"""

from collections.abc import Callable, Generator, Iterator
from contextlib import contextmanager
from functools import wraps
from typing import Any, ParamSpec, TypeVar

from .errors import ProtocolError

__all__ = ["in_steps", "or_none", "or_protocol_error", "unreadable"]

MAX_DETAIL = 200
"""Characters of an error that are passed on; it may repeat what could not be read."""

Arguments = ParamSpec("Arguments")
Value = TypeVar("Value")


@contextmanager
def unreadable(subject: str) -> Iterator[None]:
    """Raise each error of a decoder as a `ProtocolError` that names the subject.

    >>> with unreadable("A row"):
    ...     int("x" * 9)
    Traceback (most recent call last):
    mustardquay.errors.ProtocolError: A row can't be read (ValueError: invalid literal \
for int() with base 10: 'xxxxxxxxx'); its writer must correct it.
    """
    try:
        yield
    except ProtocolError:
        raise
    except Exception as error:
        detail = f"{type(error).__name__}: {error}"[:MAX_DETAIL]
        raise ProtocolError(
            f"{subject} can't be read ({detail}); its writer must correct it."
        ) from None


def or_protocol_error(
    subject: str,
) -> Callable[[Callable[Arguments, Value]], Callable[Arguments, Value]]:
    """Decorate a decoder whose errors are `ProtocolError`."""

    def decorate(decode: Callable[Arguments, Value]) -> Callable[Arguments, Value]:
        @wraps(decode)
        def read(*args: Arguments.args, **kwargs: Arguments.kwargs) -> Value:
            with unreadable(subject):
                return decode(*args, **kwargs)

        return read

    return decorate


def in_steps(
    subject: str,
) -> Callable[[Callable[..., Generator]], Callable[..., Generator]]:
    """Decorate a decoder that works in steps, and whose errors are `ProtocolError`."""

    def decorate(decode: Callable[..., Generator]) -> Callable[..., Generator]:
        @wraps(decode)
        def read(*args: Any, **kwargs: Any) -> Generator:
            with unreadable(subject):
                return (yield from decode(*args, **kwargs))

        return read

    return decorate


def or_none(
    decode: Callable[Arguments, Value | None],
) -> Callable[Arguments, Value | None]:
    """Decorate a decoder of messages that may be lost: unreadable ones are None.

    >>> or_none(int)("x") is None
    True
    """

    @wraps(decode)
    def read(*args: Arguments.args, **kwargs: Arguments.kwargs) -> Value | None:
        try:
            return decode(*args, **kwargs)
        except Exception:
            return None

    return read
