"""Hand-over of the configuration between gateways while the store turns some away."""

from .clients import ConfigurationRelay, RelayDependencies
from .documents import RELAY_PATH, RelayedDocument, encode_query, read_document
from .handlers import RelayHandler

__all__ = [
    "RELAY_PATH",
    "ConfigurationRelay",
    "RelayDependencies",
    "RelayHandler",
    "RelayedDocument",
    "encode_query",
    "read_document",
]
