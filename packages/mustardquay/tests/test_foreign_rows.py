"""Rows of other writers in the system's own tables."""

from datetime import timedelta

import pytest

from mustardquay.leases import LEASES, Lease, LeaseRows
from mustardquay.tables import Row
from mustardquay.usage import UsageReport, build_report_key, read_reports, write_report

TERM = timedelta(seconds=4)
START = timedelta(seconds=100)
VALUES = [{}, {"holder": 5}, {"holder": None}, {"counts": 1}]


@pytest.mark.parametrize("value", VALUES)
def test_a_foreign_lease_row_is_replaced_after_a_term(value):
    """Guards against a domain without a holder for as long as the row is there."""
    lease = Lease("stages", "g1", TERM)
    rows = LeaseRows(Row(LEASES, "stages", value, 7), None)
    lease.observe(rows, START)
    assert lease.propose(START) is None
    lease.observe(rows, START + TERM)
    transaction = lease.propose(START + TERM)
    assert transaction.conditions[0].revision == 7
    assert {write.value["holder"] for write in transaction.writes} == {"g1"}


@pytest.mark.parametrize(
    "value", [{}, {"counts": 5}, {"counts": {"a": "x"}}, {"counts": [1]}]
)
def test_a_foreign_report_row_costs_its_window_only(value):
    """Guards against reports that end, or that lack the counts of a foreign row."""
    sound, broken = UsageReport(7, {"acme": 2}), UsageReport(8, {"acme": 3})
    rows = [
        Row(write.table, write.key, write.value, 1)
        for report in (sound, broken)
        for write in write_report(report)[1]
    ]
    rows.append(Row("reports", build_report_key(8, 1), value, 1))
    rows.append(Row("reports", "no window", value, 1))
    assert read_reports(rows) == [sound]
