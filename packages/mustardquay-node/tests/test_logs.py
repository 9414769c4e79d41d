import io
import json
import logging
import os
import threading

import orjson

from mustardquay import EventRing, HybridClock, VirtualClock
from mustardquay.event_records import parse_event
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


def test_a_reader_that_stopped_reading_does_not_block_the_process():
    # The log collector hangs and the pipe fills up. A process that writes its log
    # on the event loop would block all requests; here lines are dropped and counted.
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
    # Once the collector reads again, the log has a line with the number dropped.
    found = [json.loads(line) for line in b"".join(read).splitlines()]
    reported = [item for item in found if item.get("message_type") == DROPPED_MESSAGE]
    assert [item["lines"] for item in reported] == [5]


def test_a_closed_output_only_loses_lines():
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


class SlowFile:
    """A file whose reader has stopped, until it is released."""

    def __init__(self):
        self.release = threading.Event()
        self.entered = threading.Event()
        self.data = b""

    def write(self, data):
        self.entered.set()
        self.release.wait()
        self.data += bytes(data[:7])
        return min(len(data), 7)


def test_lines_are_written_whole_and_in_order():
    read, write = os.pipe()
    with open(write, "wb", buffering=0) as file:
        writer = LineWriter(file)
        writer.start()
        for number in range(500):
            writer({"number": number})
        writer.close()
    with open(read, "rb") as file:
        lines = file.read().splitlines()
    assert [orjson.loads(line)["number"] for line in lines] == list(range(500))
    assert writer.dropped == 0


def test_lines_over_the_capacity_are_dropped_and_counted():
    """Guards against a process that stops serving when its output is not read.

    The pipe is full, so the writing thread blocks in its first write. Later lines fill
    the queue; those over its capacity are dropped at once, and the others are written,
    in several writes, when the reader continues.
    """
    file = SlowFile()
    writer = LineWriter(file, capacity=3)
    writer.start()
    writer({"number": 0})
    file.entered.wait()
    for number in range(1, 6):
        writer({"number": number})
    assert writer.dropped == 2
    file.release.set()
    writer.close()
    lines = [orjson.loads(line) for line in file.data.splitlines()]
    reported = {"message_type": DROPPED_MESSAGE, "lines": 2}
    assert [line for line in lines if line == reported] == [reported]
    lines.remove(reported)
    assert [line["number"] for line in lines] == [0, 1, 2, 3]
