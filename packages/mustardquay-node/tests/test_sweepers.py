from dataclasses import replace
from datetime import timedelta

from mustardquay import VirtualClock
from mustardquay.claims import (
    CLAIMS,
    Claim,
    ClaimKey,
    ClaimWrite,
    group_writes,
)
from mustardquay_node.sweepers import ClaimSweeper
from mustardquay_standins.tables import Tables


class AsyncTables:
    def __init__(self):
        self.tables = Tables()

    async def transact(self, transaction):
        return self.tables.apply(transaction)

    async def scan(self, table, after="", limit=1000):
        return self.tables.scan(table, after, limit)


def make_claims(now, lifetime, count):
    first = Claim(
        ClaimKey("c", "s", "k"), "id", "d", "e", "r/1", now, expires=now + lifetime
    )
    keys = [ClaimKey("c", "s", f"k{number}") for number in range(count)]
    return [replace(first, key=key) for key in keys]


async def test_expired_claims_are_deleted_page_by_page_and_others_stay():
    clock = VirtualClock()
    store = AsyncTables()
    day = timedelta(days=1)
    claims = make_claims(clock.now(), day, 1200)
    claims[7] = replace(claims[7], expires=clock.now() + 3 * day)
    store.tables.apply(group_writes(ClaimWrite(claim) for claim in claims))
    sweeper = ClaimSweeper(store, clock)
    for _ in range(4):
        await sweeper.sweep()
    assert len(store.tables.scan(CLAIMS, "", 2000)) == 1200
    clock.advance(2 * day)
    for _ in range(4):
        await sweeper.sweep()
    left = [row.key for row in store.tables.scan(CLAIMS, "", 2000)]
    assert left == [claims[7].key.row_key]
