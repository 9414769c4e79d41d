"""Encoding of the digests that gateways exchange as Cap'n Proto datagrams."""

from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

import capnp

from mustardquay.borders import or_none
from mustardquay.engine_models import PREFILL_SCALES, STREAM_SCALES, PoolSpeeds
from mustardquay.engine_speeds import EngineFactor
from mustardquay.fair_shares import OrganisationUse, fold_uses
from mustardquay.peer_digests import (
    LOWEST_RANK,
    MICROSECONDS,
    EngineDigest,
    PeerDigest,
    PlacedPart,
    trim_ranks,
)
from mustardquay.quarantines import CrashId, CrashRecord
from mustardquay.rate_limits import LimitNotice
from mustardquay.rate_shares import ServiceDemand

from .capacity_frames import read_capacities, write_capacities

__all__ = [
    "DATAGRAM_LIMIT",
    "decode_crashes",
    "decode_digest",
    "encode_crashes",
    "encode_digest",
]

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("peers.capnp")))

DATAGRAM_LIMIT = 1400
"""Bytes; a larger datagram is fragmented, and the loss of one fragment loses all."""
LAYOUT = 2
"""Version of the datagram layout. During an upgrade, gateways with different layouts
ignore each other's digests."""
MAX_USE_SECONDS = 1e6
"""Bound of a use that is believed: far more than a service can do in some seconds."""
MAX_MICROSECONDS = 2**32 - 1
MAX_RUNNING = 2**16 - 1


def encode_digest(digest: PeerDigest) -> bytes:
    """Return the datagram of a digest.

    It names as many organisations as there is room for. The others are in a sum.
    """
    if not digest.uses:
        return _build_message(digest, ()).to_bytes_packed()
    count = sum(use.organisation is not None for use in digest.uses)
    while True:
        uses = fold_uses(digest.uses, count)
        data = _build_message(digest, uses).to_bytes_packed()
        if len(data) <= DATAGRAM_LIMIT:
            return data
        if not count:
            return _build_message(digest, ()).to_bytes_packed()
        count //= 2


def _build_message(digest: PeerDigest, uses: Sequence[OrganisationUse]) -> Any:
    message = SCHEMA.Digest.new_message()
    message.layout = LAYOUT
    message.gateway = digest.gateway
    message.incarnation = digest.incarnation
    message.number = digest.number
    message.configuration = digest.configuration
    message.changing = list(digest.changing)
    _write_work(message, digest.engines)
    _write_placed(message, digest)
    _write_crashes(message, digest.crashes)
    _write_speeds(message, digest.speeds)
    _write_presence(message, digest)
    _write_limits(message, digest)
    write_capacities(message, digest.capacities)
    _write_factors(message, digest.engine_factors)
    _write_uses(message, uses)
    return message


@or_none
def decode_digest(data: bytes) -> PeerDigest | None:
    """Return the digest of a datagram, or None if it can't be decoded."""
    message = SCHEMA.Digest.from_bytes_packed(data)
    if message.layout != LAYOUT:
        return None
    engines = _read_work(message)
    return PeerDigest(
        message.gateway,
        message.incarnation,
        message.number,
        message.configuration,
        engines,
        _read_placed(message, engines),
        tuple(message.changing),
        tuple(map(_read_crash, message.crashes)),
        tuple(map(_read_speeds, message.speeds)),
        message.availabilityZone,
        message.ready,
        tuple(map(_read_limit, message.limits)),
        _read_demands(message),
        message.busy,
        link_rate=message.linkRate,
        forward_port=message.forwardPort,
        relay_port=message.relayPort,
        ends_in=_read_end(message),
        capacities=read_capacities(message),
        engine_factors=tuple(map(_read_factor, message.engineFactors)),
        uses=tuple(map(_read_use, message.uses)),
    )


def encode_crashes(records: Sequence[CrashRecord]) -> bytes:
    """Return the datagram of records of crashes alone."""
    message = SCHEMA.Digest.new_message()
    message.layout = LAYOUT
    _write_crashes(message, records)
    return message.to_bytes_packed()


@or_none
def decode_crashes(data: bytes) -> tuple[CrashRecord, ...] | None:
    """Return the records of crashes in a datagram, or None if it can't be decoded."""
    message = SCHEMA.Digest.from_bytes_packed(data)
    if message.layout != LAYOUT:
        return None
    return tuple(map(_read_crash, message.crashes))


def _write_work(message: Any, engines: Sequence[EngineDigest]) -> None:
    ranks = sorted(
        {
            rank
            for each in engines
            for rank, seconds in enumerate(each.prefill_seconds)
            if seconds
        }
    )
    message.engines = [each.engine for each in engines]
    message.ranks = ranks
    message.readMicroseconds = [
        _to_microseconds(each, rank) for each in engines for rank in ranks
    ]
    message.running = [min(each.running, MAX_RUNNING) for each in engines]


def _to_microseconds(work: EngineDigest, rank: int) -> int:
    if rank >= len(work.prefill_seconds):
        return 0
    return min(int(work.prefill_seconds[rank] * MICROSECONDS), MAX_MICROSECONDS)


def _read_work(message: Any) -> tuple[EngineDigest, ...]:
    ranks = list(message.ranks)
    if ranks and ranks[-1] > LOWEST_RANK:
        raise ValueError(
            "Unsupported ranks: the sender runs another version; upgrade it."
        )
    width = ranks[-1] + 1 if ranks else 0
    values = iter(list(message.readMicroseconds))
    engines = []
    for engine, running in zip(message.engines, message.running, strict=True):
        seconds = [0.0] * width
        for rank in ranks:
            seconds[rank] = next(values, 0) / MICROSECONDS
        engines.append(EngineDigest(engine, trim_ranks(seconds), running))
    return tuple(engines)


def _write_placed(message: Any, digest: PeerDigest) -> None:
    positions = {each.engine: index for index, each in enumerate(digest.engines)}
    parts = [part for part in digest.placed if part.engine in positions]
    message.placedEngines = [positions[part.engine] for part in parts]
    message.placedParts = [part.part for part in parts]
    message.placedTokens = [part.tokens for part in parts]


def _read_placed(
    message: Any, engines: Sequence[EngineDigest]
) -> tuple[PlacedPart, ...]:
    columns = (message.placedEngines, message.placedParts, message.placedTokens)
    return tuple(
        PlacedPart(engines[engine].engine, part, tokens)
        for engine, part, tokens in zip(*map(list, columns), strict=True)
    )


def _write_crashes(message: Any, records: Sequence[CrashRecord]) -> None:
    built_records = message.init("crashes", len(records))
    for built, record in zip(built_records, records, strict=True):
        built.fingerprint = record.fingerprint
        built.remainingMilliseconds = record.remaining // timedelta(milliseconds=1)
        built.text = record.text
        for name in ("crashes", "cleared"):
            ids = sorted(getattr(record, name))
            for each, id in zip(built.init(name, len(ids)), ids, strict=True):
                each.upstream = id.upstream
                each.boot = id.boot


def _read_crash(record: Any) -> CrashRecord:
    return CrashRecord(
        record.fingerprint,
        frozenset(CrashId(each.upstream, each.boot) for each in record.crashes),
        frozenset(CrashId(each.upstream, each.boot) for each in record.cleared),
        timedelta(milliseconds=record.remainingMilliseconds),
        record.text,
    )


def _write_speeds(message: Any, speeds: Sequence[PoolSpeeds]) -> None:
    for built, each in zip(message.init("speeds", len(speeds)), speeds, strict=True):
        built.service = each.service
        built.samples = each.samples
        built.read = list(each.read)
        built.first = list(each.first)


def _read_speeds(built: Any) -> PoolSpeeds:
    read, first = tuple(built.read), tuple(built.first)
    if len(read) != len(PREFILL_SCALES) or len(first) != len(STREAM_SCALES):
        raise ValueError(
            "Unsupported speeds: the sender runs another version; upgrade it."
        )
    return PoolSpeeds(built.service, built.samples, read, first)


def _write_factors(message: Any, factors: Sequence[EngineFactor]) -> None:
    built_factors = message.init("engineFactors", len(factors))
    for built, each in zip(built_factors, factors, strict=True):
        built.engine = each.engine
        built.prefill = each.prefill
        built.decode = each.decode
        built.samples = each.prefill_samples
        built.decodeSamples = each.decode_samples


def _read_factor(built: Any) -> EngineFactor:
    return EngineFactor(
        built.engine, built.prefill, built.decode, built.samples, built.decodeSamples
    )


def _write_presence(message: Any, digest: PeerDigest) -> None:
    message.availabilityZone = digest.availability_zone
    message.ready = digest.is_ready
    message.busy = digest.is_busy
    message.linkRate = digest.link_rate
    message.forwardPort = digest.forward_port
    message.relayPort = digest.relay_port
    if digest.ends_in is not None:
        message.stopping = True
        left = max(digest.ends_in, timedelta())
        message.endsInMilliseconds = left // timedelta(milliseconds=1)


def _read_end(message: Any) -> timedelta | None:
    if not message.stopping:
        return None
    return timedelta(milliseconds=message.endsInMilliseconds)


def _write_limits(message: Any, digest: PeerDigest) -> None:
    limits = message.init("limits", len(digest.limits))
    for built, limit in zip(limits, digest.limits, strict=True):
        built.upstream = limit.upstream
        built.perSecond = limit.per_second
        built.ageMilliseconds = limit.age // timedelta(milliseconds=1)
    if digest.demands is None:
        return
    message.tellsDemands = True
    demands = message.init("demands", len(digest.demands))
    for built, demand in zip(demands, digest.demands, strict=True):
        built.service = demand.service
        built.perSecond = demand.per_second


def _read_limit(built: Any) -> LimitNotice:
    age = timedelta(milliseconds=built.ageMilliseconds)
    return LimitNotice(built.upstream, built.perSecond, age)


def _read_demands(message: Any) -> tuple[ServiceDemand, ...] | None:
    if not message.tellsDemands:
        return None
    return tuple(
        ServiceDemand(each.service, each.perSecond) for each in message.demands
    )


def _write_uses(message: Any, uses: Sequence[OrganisationUse]) -> None:
    for built, use in zip(message.init("uses", len(uses)), uses, strict=True):
        built.service = use.service
        built.organisation = use.organisation or ""
        built.seconds = use.seconds
        built.demand = use.demand
        built.anonymous = use.organisation == ""


def _read_use(built: Any) -> OrganisationUse:
    """Return a use; wrong figures count as none."""
    organisation = built.organisation
    if not organisation and not built.anonymous:
        organisation = None
    seconds, demand = (
        value if 0.0 <= value < MAX_USE_SECONDS else 0.0
        for value in (built.seconds, built.demand)
    )
    return OrganisationUse(built.service, organisation, seconds, demand)
