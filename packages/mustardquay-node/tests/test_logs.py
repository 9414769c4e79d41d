import os
from threading import Event as Signal

import orjson

from mustardquay_node.logs import LineWriter


class SlowFile:
    """A file whose reader has stopped, until it is released."""

    def __init__(self):
        self.release = Signal()
        self.entered = Signal()
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
    """A process whose output nobody reads goes on serving.

    The pipe is full, so the writing thread hangs in its first write. Lines that
    come later fill the queue; those over its capacity are dropped at once, and
    the others are written, in parts, when the reader comes back.
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
    lines = file.data.splitlines()
    assert [orjson.loads(line)["number"] for line in lines] == [0, 1, 2, 3]
