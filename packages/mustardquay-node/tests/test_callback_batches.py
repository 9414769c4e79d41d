import asyncio

from mustardquay_node.callback_batches import CallbackBatcher


async def test_a_callback_that_fails_does_not_hold_up_the_others():
    """Writing one caller's stream fails in a batch that writes many streams.

    The other callers must still get their tokens. If their callbacks were dropped,
    their streams would stop for good.
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
