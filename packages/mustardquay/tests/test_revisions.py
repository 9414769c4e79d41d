"""Edits of the configuration: checks, conflicts and the way through JSON."""

import json

import pytest

from mustardquay.configuration_log import (
    Accepted,
    HeadMoved,
    build_transaction,
    decode_snapshot,
    encode_snapshot,
    interpret_result,
)
from mustardquay.contracts import Contract
from mustardquay.encodings import decode, encode
from mustardquay.errors import ConflictError, DocumentError, ProtocolError
from mustardquay.plans import Action, PlannedChange, Release, Scope
from mustardquay.revisions import (
    Catalogue,
    ChangeAmendment,
    Configuration,
    ContractAmendment,
    Edit,
    Entry,
    ReleaseAmendment,
    apply_entries,
    apply_entry,
    check_edit,
)
from mustardquay.tables import Committed, Conflict, Row


def make_contract(customer="radio", share=0.4, **options):
    options.setdefault("key_hashes", (f"hash-{customer}",))
    return Contract(customer, share=share, **options)


def make_entry(version, *amendments):
    return Entry(version, Edit(f"change-{version}", "operator", amendments))


def set_contract(contract, revision=0):
    return ContractAmendment(contract.customer, revision, contract)


BASE = apply_entry(Configuration(), make_entry(1, set_contract(make_contract())))


def test_entry_and_snapshot_survive_json():
    change = PlannedChange("d", Action.DRAIN, Scope.INSTANCE, "runner-1")
    entry = make_entry(
        2,
        set_contract(make_contract("tram", models=("m",))),
        ChangeAmendment("d", 0, change),
        ReleaseAmendment("m", 0, Release("m", "2", "1", ("a",))),
        ContractAmendment("radio", 1, None),
    )
    assert decode(Entry, json.loads(json.dumps(encode(entry)))) == entry
    result = apply_entry(BASE, entry)
    assert decode_snapshot(encode_snapshot(result)) == result
    assert result.find_contract("hash-radio") is None
    assert result.find_contract("hash-tram").revision == 2


@pytest.mark.parametrize("version", [0, 1, 3])
def test_a_gap_or_a_lower_version_is_refused(version):
    with pytest.raises(ProtocolError, match="request the entries from 2 on"):
        apply_entry(BASE, make_entry(version, set_contract(make_contract(), 1)))


def test_entries_in_any_order_apply_up_to_the_gap():
    entries = [
        make_entry(4, set_contract(make_contract(share=0.1))),
        make_entry(2, set_contract(make_contract(share=0.2))),
        make_entry(1, set_contract(make_contract(share=0.3))),
    ]
    assert apply_entries(BASE, entries).version == 2


def test_an_edit_of_an_old_revision_shows_the_conflict():
    edit = Edit("x", "operator", (set_contract(make_contract(share=0.5), 0),))
    with pytest.raises(ConflictError, match="at revision 1, .* amends revision 0"):
        check_edit(BASE, edit)


def test_shares_over_the_whole_are_refused_with_the_sum():
    edit = Edit("x", "operator", (set_contract(make_contract("tram", 0.75)),))
    with pytest.raises(DocumentError, match=r"1\.1500 .* 0\.1500 over the whole"):
        check_edit(BASE, edit)


def test_shares_that_are_over_may_be_lowered_step_by_step():
    """A fleet that shrank is over the whole; each edit that lowers it is let in."""
    over = make_entry(2, set_contract(make_contract("tram", 0.75)))
    edit = Edit("x", "operator", (set_contract(make_contract("tram", 0.7), 2),))
    assert check_edit(apply_entry(BASE, over), edit).version == 3


@pytest.mark.parametrize("kind", ["models", "adapters", "services"])
def test_what_no_upstream_has_is_refused(kind):
    contract = make_contract("tram", **{kind: ("missing",)})
    edit = Edit("x", "operator", (set_contract(contract),))
    with pytest.raises(DocumentError, match="missing, which no upstream has"):
        check_edit(BASE, edit, Catalogue())
    assert check_edit(BASE, edit, Catalogue(**{kind: frozenset({"missing"})}))


@pytest.mark.parametrize("revision", [0, 1])
def test_a_key_has_one_customer(revision):
    thief = make_contract("tram", key_hashes=("hash-radio",))
    amendments = [set_contract(thief)]
    if revision:
        amendments.append(set_contract(make_contract(), 1))
    with pytest.raises(DocumentError, match="another customer"):
        check_edit(BASE, Edit("x", "operator", tuple(amendments)))


def test_an_empty_or_doubled_edit_is_refused():
    amendment = set_contract(make_contract(), 1)
    for amendments in [(), (amendment, amendment)]:
        with pytest.raises(DocumentError):
            check_edit(BASE, Edit("x", "operator", amendments))


def test_the_result_of_a_transaction_says_whether_the_edit_is_in_the_log():
    entry = make_entry(2, set_contract(make_contract(), 1))
    transaction = build_transaction(None, entry)
    head, change = transaction.conditions
    moved = Row(head.table, head.key, {"version": 5}, 5)
    known = Row(change.table, change.key, {"version": 2}, 1)
    assert interpret_result(entry, Committed((1, 1, 1))) == Accepted(2)
    assert interpret_result(entry, Conflict((moved,))) == HeadMoved(5)
    assert interpret_result(entry, Conflict((moved, known))) == Accepted(2)
