"""Capacity of upstreams at this moment, from their load reports and their answers."""

from .estimates import CapacityEstimates
from .load_reports import LoadReport

__all__ = ["CapacityEstimates", "LoadReport"]
