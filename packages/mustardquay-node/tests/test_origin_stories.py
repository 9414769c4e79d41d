"""Random stories of releases and kills of all gateways: no stream joins versions."""

import asyncio
from random import Random

import pytest
from simulated_origins import Fleet, make_upstreams

from mustardquay.streams import StreamOrigin
from mustardquay_standins.virtual_loops import VirtualLoop

STEPS = 60
MAX_STEP_SECONDS = 1.5
MAX_STORE_SECONDS = 3.0
VERSIONS = ("v1", "v1.1", "v1.2")


class Story:
    """A fleet in which versions come and go and all gateways are killed."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.fleet = Fleet(self.random.choice((1, 3, 4, 8)), [], seed)
        self.loop = asyncio.get_running_loop()
        self.begun = {}
        """The origin of each stream."""
        self.wrong = []

    async def play(self):
        self._serve("v1")
        steps = (
            self._release,
            self._kill_all,
            self._kill_all,
            self._silence_store,
            self._begin,
            self._begin,
            self._begin,
            self._take_up,
            self._take_up,
        )
        for _ in range(STEPS):
            await self.random.choice(steps)()
            await asyncio.sleep(self.random.uniform(0, MAX_STEP_SECONDS))
        await asyncio.sleep(MAX_STORE_SECONDS)
        await self._take_up()
        await self.fleet.close()

    def _serve(self, *versions):
        self.fleet.upstreams = make_upstreams(*versions)

    async def _release(self):
        """Let one or two versions serve, as its gateways learn at once."""
        self._serve(*self.random.sample(VERSIONS, self.random.choice((1, 2, 2))))

    async def _kill_all(self):
        """Kill all gateways; upstreams are listed a moment after they are back."""
        listed, self.fleet.upstreams = self.fleet.upstreams, []
        await self.fleet.restart(*self.fleet.members)
        await asyncio.sleep(self.random.choice((0.0, 0.05, 0.4)))
        self.fleet.upstreams = listed

    async def _silence_store(self):
        seconds = self.random.uniform(0.1, MAX_STORE_SECONDS)
        self.fleet.store.silent_until = self.loop.time() + seconds

    async def _begin(self):
        """Begin streams as a gateway does: at marked versions if any can run them."""
        for name, member in self.fleet.members.items():
            for _ in range(self.random.randrange(4)):
                marked = [
                    each for each in self.fleet.upstreams if member.is_marked(each)
                ]
                usable = marked or self.fleet.upstreams
                if not usable:
                    continue
                version = self.random.choice(usable).software_version
                key = len(self.begun)
                origin = StreamOrigin("llm", version)
                self.begun[key] = origin
                self.fleet.begin(name, key, origin)
                await asyncio.sleep(0.01)

    async def _take_up(self):
        """Take streams up at gateways that may not know them."""
        recent = list(self.begun)[-20:]
        names = list(self.fleet.members)
        finds = [self.fleet.find(self.random.choice(names), key) for key in recent]
        for key, found in zip(recent, await asyncio.gather(*finds), strict=True):
            if found not in (None, self.begun[key]):
                self.wrong.append((key, found, self.begun[key]))


UNMARKED = 1021
"""Streams begin at a version that is never marked: the store is silent at the start."""


@pytest.mark.parametrize("seed", [*range(40), UNMARKED])
def test_no_stream_is_taken_for_one_of_another_version(seed):
    """Guards against a stream that goes on at another version after a power loss."""

    async def play():
        story = Story(seed)
        await story.play()
        return story

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        story = runner.run(play())
    assert len(story.begun) > 10
    assert story.wrong == []
