import asyncio

from mustardquay_node.callback_batches import CallbackBatcher


async def test_a_callback_that_fails_does_not_hold_up_the_others():
    """One caller's stream fails as it is written, in a turn that writes many.

    The other callers must still get their tokens; otherwise their streams would
    stop for good, since each waits for a callback that was dropped.
    """
    called = []
    queue = CallbackBatcher()

    def fail():
        raise RuntimeError("the stream was finished")

    def add_another():
        queue.add(lambda: called.append("later"))

    for callback in (fail, lambda: called.append("first"), add_another):
        queue.add(callback)
    assert called == []
    await asyncio.sleep(0)
    assert called == ["first"]
    await asyncio.sleep(0)
    assert called == ["first", "later"]
