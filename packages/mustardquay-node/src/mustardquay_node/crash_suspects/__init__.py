"""Requests, and parts of prompts, that crash upstreams: what gateways know of them."""

from .body_reporters import CrashReporter
from .exchanges import SuspectExchange
from .part_exchanges import PartExchange
from .part_reporters import PartReporter

__all__ = ["CrashReporter", "PartExchange", "PartReporter", "SuspectExchange"]
