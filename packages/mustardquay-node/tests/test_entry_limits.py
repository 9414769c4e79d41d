"""Limits of connections to an entry, in virtual time."""

from datetime import timedelta

from mustardquay.clocks import VirtualClock
from mustardquay_node.entry_connections.limits import CHECK_INTERVAL, LimitWatch

LIMIT = timedelta(seconds=1)


class Connection:
    is_waiting = True


class Watched:
    """A watch with its clock; `ended` has the connections whose limit ran out."""

    def __init__(self):
        self.clock = VirtualClock()
        self.ended = []
        self.watch = LimitWatch(self.clock, LIMIT, LIMIT, self.ended.append)

    def run(self, duration):
        """Let the checks of a time run."""
        for _ in range(duration // CHECK_INTERVAL):
            self.clock.advance(CHECK_INTERVAL)
            self.watch.check()


def test_a_connection_without_a_head_ends_at_its_limit():
    watched, connection = Watched(), Connection()
    watched.watch.await_head(connection)
    watched.run(LIMIT - CHECK_INTERVAL)
    assert not watched.ended
    watched.run(CHECK_INTERVAL)
    assert watched.ended == [connection]
    watched.run(LIMIT)
    assert watched.ended == [connection]


def test_a_body_has_a_limit_of_its_own():
    watched, connection = Watched(), Connection()
    watched.watch.await_head(connection)
    watched.run(LIMIT / 2)
    watched.watch.await_body(connection)
    watched.run(LIMIT / 2)
    assert not watched.ended
    watched.run(LIMIT / 2)
    assert watched.ended == [connection]


def test_a_whole_request_has_no_limit():
    watched, connection = Watched(), Connection()
    watched.watch.await_body(connection)
    watched.watch.forget(connection)
    watched.run(2 * LIMIT)
    assert not watched.ended


def test_a_connection_with_bytes_is_left_to_the_next_check():
    """Guards against a limit that runs out beside a request in the process."""
    watched, connection = Watched(), Connection()
    watched.watch.await_head(connection)
    connection.is_waiting = False
    watched.run(LIMIT)
    assert not watched.ended
    connection.is_waiting = True
    watched.run(CHECK_INTERVAL)
    assert watched.ended == [connection]


def test_time_in_which_the_process_did_not_run_does_not_count():
    """Guards against limits that run out while a process is stopped or late."""
    watched, connection = Watched(), Connection()
    watched.watch.await_head(connection)
    watched.clock.advance(10 * LIMIT)
    watched.watch.check()
    assert not watched.ended
    watched.run(LIMIT)
    assert watched.ended == [connection]


def test_only_connections_whose_limit_ran_out_end():
    watched, first, second = Watched(), Connection(), Connection()
    watched.watch.await_head(first)
    watched.run(LIMIT / 2)
    watched.watch.await_head(second)
    watched.run(LIMIT / 2)
    assert watched.ended == [first]
