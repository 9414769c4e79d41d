"""Gateway metrics: what a gateway counts and measures, for its `/metrics`."""

from collections import Counter
from datetime import timedelta

from prometheus_client.exposition import CONTENT_TYPE_LATEST

__all__ = ["CONTENT_TYPE_LATEST", "GatewayMetrics"]


class GatewayMetrics:
    """The metrics of one gateway."""

    def __init__(self, process: str, availability_zone: str):
        self._answers: Counter[tuple[str, str]] = Counter()

    def start(self) -> None:
        """Begin to export."""

    def close(self) -> None:
        """Stop to export."""

    def count_answer(self, route: str, outcome: str) -> None:
        """Count the end of a request."""
        self._answers[route, outcome] += 1

    def record_first_byte(self, route: str, duration: timedelta) -> None:
        """Count the time from a request's arrival to its answer's first byte."""

    def render(self) -> bytes:
        """Return the page for Prometheus."""
        return b""
