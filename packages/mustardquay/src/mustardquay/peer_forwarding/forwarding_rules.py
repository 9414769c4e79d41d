"""Forwarding rules: whether a request is worth forwarding to another gateway.

Designed for gateways on links of very different rates behind a load balancer that
gives each of them as many callers. A long prompt is sent twice, to the engine that
prefills it and to the one that decodes, and a burst of them waits for a slow link. A
gateway on a fast link in the same availability zone needs the prompt only once.
"""

from datetime import timedelta

from ..uplinks import Uplink

__all__ = ["MIN_SAVING", "RATE_RATIO", "saves_link_time"]

MIN_SAVING = timedelta(milliseconds=10)
"""Least time on the link that a forwarded request must save: the hop to the other
gateway takes two more network delays and its processor time, some 3 ms."""
RATE_RATIO = 4.0
"""How many times faster the link of the other gateway must be. As each hop needs a
faster link, requests are never forwarded in a circle."""


def saves_link_time(size: int, link_rate: float) -> bool:
    """Return whether one send of `size` bytes in place of two saves enough time.

    `link_rate` is the rate of the own link in Mbit/s, 0 if it makes nothing wait.

    >>> saves_link_time(9_200, 5), saves_link_time(9_200, 100), saves_link_time(300, 5)
    (True, False, False)
    """
    return Uplink(link_rate).predict_time(size, timedelta()) >= MIN_SAVING
