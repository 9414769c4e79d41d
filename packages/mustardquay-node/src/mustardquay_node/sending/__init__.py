"""Sends of a request to one upstream: options, result and what it shows of it."""

from .alternatives import find_prefill_state
from .results import Send, SendOptions
from .senders import Sender

__all__ = ["Send", "SendOptions", "Sender", "find_prefill_state"]
