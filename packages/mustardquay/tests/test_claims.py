"""Cases of single claim rows that the stateful tests don't cover."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest

from mustardquay.claims import (
    CLAIMS,
    CLOCK_SKEW,
    Claim,
    ClaimDecision,
    ClaimKey,
    ClaimState,
    ClaimWrite,
    RecordedAnswer,
    decode_claim,
    encode_claim,
    plan_expiry,
    rebase_final_write,
    resolve_claim,
    split_conflict,
)
from mustardquay.errors import DocumentError
from mustardquay.tables import Row

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def make_claim(name="c1", state=ClaimState.CLAIMED, **changes):
    claim = Claim(
        key=ClaimKey("syndesmos", "booking", name),
        id=f"entry-{name}",
        digest="d",
        entry="entry",
        attempt="r1/1",
        finish_by=NOW + timedelta(seconds=30),
        expires=NOW + timedelta(days=1),
        state=state,
        revision=1,
    )
    return replace(claim, **changes)


def make_row(claim):
    return Row(CLAIMS, claim.key.row_key, encode_claim(claim), claim.revision)


def test_a_row_gives_back_its_claim():
    answer = RecordedAnswer(200, (("A", "b"),), b"\x00\xff", "answers/x")
    claim = make_claim(state=ClaimState.ANSWERED, answer=answer)
    assert decode_claim(claim.key, make_row(claim)) == claim


def test_row_keys_of_different_names_differ():
    keys = {
        ClaimKey("a/b", "c", "d").row_key,
        ClaimKey("a", "b/c", "d").row_key,
        ClaimKey("a", "b", "c/d").row_key,
        ClaimKey("a%2Fb", "c", "d").row_key,
    }
    assert len(keys) == 4


@pytest.mark.parametrize("key", ["", "x" * 256])
def test_a_key_out_of_bounds_is_an_error(key):
    with pytest.raises(DocumentError):
        ClaimKey("a", "b", key)


@pytest.mark.parametrize("state", [ClaimState.ANSWERED, ClaimState.NOT_RUN])
@pytest.mark.parametrize("wanted", list(ClaimState))
def test_an_answered_or_released_claim_is_final(state, wanted):
    """Guards against a second booking: a late release would free the key of an answered
    one.
    """
    row = make_row(make_claim(state=state, revision=2))
    assert rebase_final_write(make_claim(state=wanted), row) is None


@pytest.mark.parametrize("skew", [-CLOCK_SKEW / 2, CLOCK_SKEW / 2])
def test_an_entry_whose_clock_is_ahead_does_not_take_over_early(skew):
    """Guards against a shortened lifetime of a key: a claim is kept for a day, and an
    entry whose clock is ahead must not treat it as expired sooner.
    """
    held = make_claim(state=ClaimState.ANSWERED, answer=RecordedAnswer(200))
    wanted = make_claim(id="other", revision=0)
    result = resolve_claim(wanted, make_row(held), held.expires + skew)
    assert result.decision is ClaimDecision.REPLAY
    later = resolve_claim(wanted, make_row(held), held.expires + CLOCK_SKEW)
    assert later == replace(wanted, revision=held.revision)


def test_a_claim_whose_holder_died_is_unknown_at_once_after_its_deadline():
    held = make_claim()
    wanted = make_claim(id="other", revision=0)
    result = resolve_claim(wanted, make_row(held), held.finish_by + CLOCK_SKEW)
    assert result.decision is ClaimDecision.UNKNOWN


def test_writes_that_an_absent_row_may_have_failed_are_tried_alone():
    """One of three rows was deleted, and the conflict doesn't contain its key."""
    writes = [
        ClaimWrite(make_claim("new", revision=0)),
        ClaimWrite(make_claim("met")),
        ClaimWrite(make_claim("swept")),
        ClaimWrite(make_claim("fine")),
    ]
    row = make_row(make_claim("met", revision=2))
    existing, ambiguous, retried = split_conflict(writes, [row, None])
    assert existing == [(writes[1], row)]
    assert ambiguous == writes[2:]
    assert retried == writes[:1]


def test_only_rows_that_every_entry_takes_for_expired_are_deleted():
    rows = [make_row(make_claim("a")), make_row(make_claim("b", expires=NOW))]
    later = NOW + 2 * CLOCK_SKEW
    assert plan_expiry(rows, later - timedelta(seconds=1)).writes == ()
    assert [write.key for write in plan_expiry(rows, later).writes] == [rows[1].key]
