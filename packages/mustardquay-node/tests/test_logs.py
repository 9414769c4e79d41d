import io
import json
import logging
import os
import threading

from mustardquay import EventRing, HybridClock, VirtualClock
from mustardquay.records import parse_event
from mustardquay_node.logs import (
    DROPPED_MESSAGE,
    EVENT_MESSAGE,
    LineWriter,
    Logs,
    write_event,
)


def test_events_and_log_lines_are_json_lines_that_can_be_merged_back():
    file = io.BytesIO()
    logs = Logs("warning", file)
    logs.start()
    ring = EventRing("entry-1", HybridClock(VirtualClock()), write=write_event)
    event = ring.record("attempt.sent", request="r1", customer="ü", attempt=1)
    logging.getLogger("mustardquay_node.tests").warning("a %s", "warning")
    logging.getLogger("mustardquay_node.tests").info("not wanted")
    logs.close()
    ring.record("attempt.late")
    records = [json.loads(line) for line in file.getvalue().splitlines()]
    assert [record["message_type"] for record in records] == [
        EVENT_MESSAGE,
        "eliot:stdlib",
    ]
    assert parse_event(records[0]) == event
    assert records[1]["message"] == "a warning"
    assert logs.dropped == 0


def test_a_reader_that_stopped_reading_does_not_hold_up_the_process():
    # The log collector hangs and the pipe fills up. A process that writes its log
    # on the event loop would now serve nobody; here lines are dropped and counted.
    reader, writer = os.pipe()
    with open(writer, "wb", buffering=0) as file:
        lines = LineWriter(file, capacity=10)
        lines.start()
        message = {"text": "x" * 100_000}
        while lines.dropped < 5:
            lines(message)
        read: list[bytes] = []
        collector = threading.Thread(target=_read_all, args=(reader, read))
        collector.start()
        lines.close()
    collector.join()
    # Once the collector reads again, the log itself says what it lacks.
    found = [json.loads(line) for line in b"".join(read).splitlines()]
    told = [item for item in found if item.get("message_type") == DROPPED_MESSAGE]
    assert [item["lines"] for item in told] == [5]


def test_a_closed_output_costs_lines_and_nothing_else():
    reader, writer = os.pipe()
    os.close(reader)
    with open(writer, "wb", buffering=0) as file:
        lines = LineWriter(file)
        lines.start()
        lines({"text": "lost"})
        lines.close()
    assert lines.dropped == 1


def _read_all(descriptor: int, found: list[bytes]) -> None:
    with open(descriptor, "rb") as file:
        found.append(file.read())
