"""Requests, and parts of prompts, that crash upstreams: what gateways know of them."""

from .blames import Blame
from .body_reporters import CrashReporter, format_fingerprint
from .exchanges import SuspectExchange
from .part_exchanges import PartExchange
from .part_reporters import PartReporter

__all__ = [
    "Blame",
    "CrashReporter",
    "PartExchange",
    "PartReporter",
    "SuspectExchange",
    "format_fingerprint",
]
