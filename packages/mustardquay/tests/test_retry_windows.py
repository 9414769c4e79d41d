from datetime import timedelta

from mustardquay.retry_windows import RetryLimits, RetryWindow

LIMITS = RetryLimits(ratio=0.2, allowance=56, window=timedelta(seconds=10))
PROCESSES = 8


def test_all_processes_together_keep_the_bound_when_everything_fails():
    """The upstreams that remain fail under repeats.

    One upstream is lost, each gateway sends its work again, and no gateway sees what
    the others do. Every window of time has to stay within the bound for them all.
    """
    windows = [RetryWindow(LIMITS, PROCESSES) for _ in range(PROCESSES)]
    repeats = []
    for step in range(3000):
        now = timedelta(milliseconds=10 * step)
        window = windows[step % PROCESSES]
        window.count_request(now)
        repeats += [now] * sum(window.take(now) for _ in range(5))
    for start in range(0, 20):
        begin = timedelta(seconds=start)
        within = sum(begin <= at < begin + LIMITS.window for at in repeats)
        assert within <= LIMITS.ratio * 1000 + LIMITS.allowance


def test_a_process_without_requests_still_has_its_part_of_the_allowance():
    window = RetryWindow(LIMITS, PROCESSES)
    taken = [window.take(timedelta()) for _ in range(20)]
    assert taken.count(True) == 56 // PROCESSES


def test_what_has_left_the_window_no_longer_counts():
    window = RetryWindow(LIMITS, PROCESSES)
    while window.take(timedelta()):
        pass
    assert not window.take(timedelta(seconds=9))
    assert window.take(timedelta(seconds=11))


def test_a_try_that_takes_two_sends_is_paid_for_two():
    """The platform counts more repeats than the gateways do.

    A generation that is tried again is sent to an engine that reads and then to one
    that generates, and both are repeats.
    """
    window = RetryWindow(LIMITS, PROCESSES)
    taken = [window.take(timedelta(), sends=2) for _ in range(20)]
    assert taken.count(True) == 56 // PROCESSES // 2
