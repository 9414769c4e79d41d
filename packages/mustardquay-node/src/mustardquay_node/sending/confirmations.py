"""Whether an answer that looks whole is the whole answer of a run.

Guards against upstreams that crash: their answers may end just as whole ones.
"""

from mustardquay.errors import ProtocolError
from mustardquay.silences import ConnectResult
from mustardquay.streams import EventFramer, is_stream_complete
from mustardquay.upstream_lists import UpstreamRecord

from ..adapters import Adapter
from ..connections import ConnectionPool, Exchange, ExchangeEnd
from ..forwarder_dependencies import ForwarderDependencies
from .observations import SUCCESS_STATUSES
from .results import SendOptions

__all__ = ["confirm_end", "holds_whole_events", "is_prefill_complete", "is_success"]

PREFILLED_STATUS = 200
REACHED_RESULTS = (ConnectResult.CONNECTED, ConnectResult.NO_ROOM)
"""Results of a probe that don't speak against its upstream."""


def is_success(exchange: Exchange, options: SendOptions) -> bool:
    """Return whether an answer is a success of a run; a prefill shows its own end."""
    assert exchange.head is not None
    return exchange.head.status in SUCCESS_STATUSES and not options.prefill_only


def is_prefill_complete(exchange: Exchange, adapter: Adapter) -> bool:
    """Return whether the answer to a prefill is a failure, or can be read."""
    assert exchange.head is not None
    if exchange.head.status != PREFILLED_STATUS:
        return True
    try:
        adapter.read_prefilled(exchange.content)
    except ProtocolError:
        return False
    return True


def holds_whole_events(exchange: Exchange, framer: EventFramer) -> bool:
    """Return whether a stream that has ended by its framing ends after an event."""
    return is_stream_complete(exchange.framing, framer.events, framer.is_inside_event)


async def confirm_end(
    deps: ForwarderDependencies,
    upstream: UpstreamRecord,
    exchange: Exchange,
    pool: ConnectionPool,
) -> str:
    """Return the end of an answer that looks whole, an `ExchangeEnd`.

    Guards against upstreams that crash in an answer which ends with its connection, as
    between two events of a stream. One that has crashed refuses connections until it
    has started again.
    """
    if not exchange.ended_connection:
        return ExchangeEnd.WHOLE
    is_reached = await pool.probe() in REACHED_RESULTS
    if is_reached and not _has_restarted(deps, upstream):
        return ExchangeEnd.WHOLE
    return ExchangeEnd.INCOMPLETE


def _has_restarted(deps: ForwarderDependencies, upstream: UpstreamRecord) -> bool:
    """Return whether an upstream is listed with a later start than when it was sent to.

    The end of a connection may come after that start, if a link held it up.
    """
    listed = deps.upstreams.get(upstream.id)
    return listed is not None and 0 < upstream.started_ms < listed.started_ms
