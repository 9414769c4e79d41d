"""Which new connections a gateway takes, and which it leaves to other gateways."""

from .free_peers import FreePeers
from .gates import MAX_REFUSED_SHARE, ConnectionGate
from .loop_lags import TARGET_LAG, LoopLag

__all__ = [
    "MAX_REFUSED_SHARE",
    "TARGET_LAG",
    "ConnectionGate",
    "FreePeers",
    "LoopLag",
]
