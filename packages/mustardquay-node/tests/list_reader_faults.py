"""Faults of fleets that follow the list of upstreams: each one harms a fleet once."""

import asyncio

__all__ = ["FAULTS", "RESTORE_FAULT", "play_fault"]

START_SECONDS = 4.0
"""Seconds in which a fleet starts and selects its list readers."""
PERIOD = 0.23
"""Seconds between two upstreams that begin to drain."""


async def kill_a_reader(fleet):
    name = fleet.random.choice(list_any_readers(fleet))
    await fleet.kill(name)
    await asyncio.sleep(2.5)
    fleet.start_member(name)


async def kill_all_readers(fleet):
    names = list_any_readers(fleet)
    for name in names:
        await fleet.kill(name)
    await asyncio.sleep(2.5)
    for name in names:
        fleet.start_member(name)


async def restart_a_third(fleet):
    names = fleet.random.sample(list(fleet.members), max(len(fleet.members) // 3, 1))
    for name in names:
        await fleet.kill(name)
        fleet.start_member(name)
    await asyncio.sleep(2.5)


async def mute_a_reader(fleet):
    fleet.muted.add(fleet.random.choice(list_any_readers(fleet)))
    await asyncio.sleep(2.5)
    fleet.muted.clear()


async def mute_all_readers(fleet):
    fleet.muted.update(list_any_readers(fleet))
    await asyncio.sleep(2.5)
    fleet.muted.clear()


async def divide_the_gateways(fleet):
    fleet.groups = {name: fleet.random.randrange(2) for name in fleet.zones}
    await asyncio.sleep(2.5)
    fleet.groups = {}


async def separate_all_gateways(fleet):
    fleet.groups = {name: number for number, name in enumerate(fleet.zones)}
    await asyncio.sleep(2.5)
    fleet.groups = {}


async def cut_readers_from_the_store(fleet):
    fleet.cut_from_store.update(list_any_readers(fleet)[:3])
    await asyncio.sleep(2.5)
    fleet.cut_from_store.clear()


async def cut_half_from_the_store(fleet):
    names = list(fleet.members)
    fleet.cut_from_store.update(fleet.random.sample(names, len(names) // 2))
    await asyncio.sleep(2.5)
    fleet.cut_from_store.clear()


async def silence_connections_of_readers(fleet):
    for name in list_any_readers(fleet):
        fleet.members[name].client.is_silent = True
    await asyncio.sleep(2.5)


async def silence_all_connections(fleet):
    for member in fleet.members.values():
        member.client.is_silent = True
    await asyncio.sleep(2.5)


async def slow_the_store(fleet):
    fleet.store.delay = 0.3
    await asyncio.sleep(2.5)
    fleet.store.delay = 0.0


async def lose_answers(fleet):
    fleet.store.answer_loss = 0.3
    await asyncio.sleep(2.5)
    fleet.store.answer_loss = 0.0


async def stop_the_store(fleet):
    fleet.store.is_down = True
    await asyncio.sleep(fleet.random.uniform(0.2, 4.0))
    fleet.store.is_down = False
    await asyncio.sleep(2.0)


async def forget_history(fleet):
    for _ in range(5):
        fleet.store.forget()
        await asyncio.sleep(0.5)


async def lose_datagrams(fleet):
    fleet.loss, fleet.doubled, fleet.reordered = 0.3, 0.2, 0.3
    await asyncio.sleep(2.5)
    fleet.loss = fleet.doubled = fleet.reordered = 0.0


async def restore_the_store(fleet):
    copy = fleet.store.copy()
    await asyncio.sleep(fleet.random.uniform(0.3, 2.0))
    fleet.store.restore(copy)
    await asyncio.sleep(2.5)


RESTORE_FAULT = restore_the_store
"""What the store acknowledged since the copy is lost, so it is judged by itself."""
FAULTS = (
    kill_a_reader,
    kill_all_readers,
    restart_a_third,
    mute_a_reader,
    mute_all_readers,
    divide_the_gateways,
    separate_all_gateways,
    cut_readers_from_the_store,
    cut_half_from_the_store,
    silence_connections_of_readers,
    silence_all_connections,
    slow_the_store,
    lose_answers,
    stop_the_store,
    forget_history,
    lose_datagrams,
)


def play_fault(fault, drains=True):
    """Return a play: a fleet starts, is harmed once and recovers."""

    async def play(fleet):
        await asyncio.sleep(START_SECONDS)
        harm = asyncio.ensure_future(fault(fleet))
        for _ in range(round(4.0 / PERIOD)):
            if drains:
                fleet.drain()
            await asyncio.sleep(PERIOD)
        await harm
        await asyncio.sleep(4.5)

    return play


def list_any_readers(fleet):
    """Return the list readers, or some gateways where there are none."""
    return fleet.list_readers() or list(fleet.members)[:4]
