"""Requests, and parts of prompts, that crash upstreams: what gateways know of them."""

from .body_reporters import CrashReporter
from .frames import NOTICE_PREFIX
from .part_exchanges import PartExchange, PartExchangeDependencies
from .part_reporters import PartReporter

__all__ = [
    "NOTICE_PREFIX",
    "CrashReporter",
    "PartExchange",
    "PartExchangeDependencies",
    "PartReporter",
]
