"""Which requests a gateway on a slow link leaves to a gateway on a fast one."""

from .forwarding_peers import ForwardingPeers
from .forwarding_rules import MIN_SAVING, RATE_RATIO, saves_link_time

__all__ = ["MIN_SAVING", "RATE_RATIO", "ForwardingPeers", "saves_link_time"]
