"""Encodings: data classes as JSON, validated when decoded."""

from functools import cache
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from .errors import ProtocolError

__all__ = ["decode", "decode_bytes", "encode", "encode_bytes"]

T = TypeVar("T")


def encode(value: Any) -> dict[str, Any]:
    """Return a data class as a JSON value."""
    return _adapter(type(value)).dump_python(value, mode="json")


def encode_bytes(value: Any) -> bytes:
    """Return a data class as JSON."""
    return _adapter(type(value)).dump_json(value)


def decode(kind: type[T], value: Any) -> T:
    """Return the data class; raises `ProtocolError` if the value is invalid."""
    try:
        return _adapter(kind).validate_python(value)
    except ValidationError as error:
        raise _fault(kind, error) from None


def decode_bytes(kind: type[T], data: bytes) -> T:
    """Return the data class; raises `ProtocolError` if the data is invalid."""
    try:
        return _adapter(kind).validate_json(data)
    except ValidationError as error:
        raise _fault(kind, error) from None


def _fault(kind: type, error: ValidationError) -> ProtocolError:
    return ProtocolError(
        f"This is not a valid {kind.__name__}; rewrite it or run the version "
        f"that wrote it: {error}"
    )


@cache
def _adapter(kind: type) -> TypeAdapter:
    return TypeAdapter(kind)
