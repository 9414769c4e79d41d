from datetime import timedelta

from mustardquay.retry_windows import RetryLimits, RetryWindow

LIMITS = RetryLimits(ratio=0.2, allowance=56, window=timedelta(seconds=10))
PROCESSES = 8


def test_all_processes_together_keep_the_bound_when_everything_fails():
    """Guards against remaining upstreams failing under repeated sends.

    One upstream is lost, and each gateway sends its work again without information
    about the others. All together must stay within the limit in every window of time.
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
    """Guards against counting fewer repeated sends than the platform does.

    A generation that is retried is sent to one engine for prefill and then to another
    for generation, and both count as repeats.
    """
    window = RetryWindow(LIMITS, PROCESSES)
    taken = [window.take(timedelta(), sends=2) for _ in range(20)]
    assert taken.count(True) == 56 // PROCESSES // 2
