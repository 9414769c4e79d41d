"""Decoding of large documents in short steps, between which other work can run."""

from .json_documents import JsonItems, JsonMember, split_document
from .reused_values import ReusedValues
from .steps import Steps, run_all, run_slice

__all__ = [
    "JsonItems",
    "JsonMember",
    "ReusedValues",
    "Steps",
    "run_all",
    "run_slice",
    "split_document",
]
