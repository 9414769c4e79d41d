"""Sends of a request to one upstream: options, result and what it shows of it."""

from .alternatives import find_prefill_state
from .replacements import Replacement, Replacements
from .results import Send, SendOptions
from .senders import Sender

__all__ = [
    "Replacement",
    "Replacements",
    "Send",
    "SendOptions",
    "Sender",
    "find_prefill_state",
]
