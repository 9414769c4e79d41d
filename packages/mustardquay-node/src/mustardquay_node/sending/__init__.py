"""Sends of a request to one upstream: options, result and what it shows of it."""

from .results import Send, SendOptions
from .senders import Sender

__all__ = ["Send", "SendOptions", "Sender"]
