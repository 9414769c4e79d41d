"""Datagrams and timers by which list readers keep other gateways up to date."""

from .frames import NOTICE_PREFIX, decode_notice, encode_notice
from .list_relays import ListRelay, RelayDependencies

__all__ = [
    "NOTICE_PREFIX",
    "ListRelay",
    "RelayDependencies",
    "decode_notice",
    "encode_notice",
]
