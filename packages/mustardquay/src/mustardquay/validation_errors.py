"""Validation errors of pydantic models as messages with field and remedy."""

from collections.abc import Callable, Mapping
from typing import Any

from pydantic import ValidationError

__all__ = ["TIMESTAMP_REMEDY", "FieldLocator", "describe_error", "describe_errors"]

FieldLocator = Callable[[tuple[int | str, ...]], str]
"""Returns the readable location of a field, given its path in the model."""

TIMESTAMP_REMEDY = (
    "must be a timestamp with a time zone; write one such as 2026-12-03T04:00:00Z"
)

_REMEDIES = {
    "bool_parsing": "must be yes or no; write true or false",
    "datetime_from_date_parsing": TIMESTAMP_REMEDY,
    "datetime_parsing": TIMESTAMP_REMEDY,
    "datetime_type": TIMESTAMP_REMEDY,
    "extra_forbidden": "is unknown; remove it or correct its spelling",
    "float_parsing": "must be a number; write one such as 0.25",
    "float_type": "must be a number; write one such as 0.25",
    "finite_number": "must be a finite number; write one such as 0.25",
    "int_from_float": "must be a whole number; write one such as 8",
    "int_parsing": "must be a whole number; write one such as 8",
    "int_type": "must be a whole number; write one such as 8",
    "missing": "is missing; add it",
    "string_too_short": "must not be empty; write a value",
    "string_type": "must be text; write it as a string",
    "timezone_aware": TIMESTAMP_REMEDY,
}
"""What is wrong and the remedy, by pydantic's error type."""


def describe_errors(error: ValidationError, locate: FieldLocator) -> str:
    """Return one line for each error: its location, what is wrong, the remedy.

    The value itself is omitted, since it may be a secret.
    """
    return "\n".join(
        f"{locate(fault['loc'])}: {describe_error(fault)}."
        for fault in error.errors(include_input=False, include_url=False)
    )


def describe_error(fault: Mapping[str, Any]) -> str:
    """Return what is wrong with one field and the remedy, without its value."""
    context = fault.get("ctx", {})
    match fault["type"]:
        case "greater_than":
            return f"must be over {context['gt']:g}; raise it"
        case "greater_than_equal":
            return f"must be {context['ge']:g} or more; raise it"
        case "less_than_equal":
            return f"must be {context['le']:g} or less; lower it"
        case "literal_error" | "enum":
            return f"is not known; write one of {context['expected']}"
        case "string_pattern_mismatch":
            return f"has a wrong form; write it to match {context['pattern']}"
        case "too_short":
            return "is empty; write at least one word"
        case "value_error":
            return str(context["error"]).rstrip(".")
    return _REMEDIES.get(fault["type"]) or f"{fault['msg'].rstrip('.')}; correct it"
