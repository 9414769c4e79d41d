"""Orphans: non-repeatable runs that ended while their entry had no link to the agent.

If an entry fails, its caller repeats the call at another entry, which polls the row of
the claim and would never find an answer there, although the work was done. Therefore
the agent, which has the answer, records it. Only answers are recorded: an agent must
not release the key after a refusal, since the entry may still be running and may send
the work to another upstream under the same claim.
"""

from datetime import timedelta
from random import Random

import orjson

from mustardquay.claims import restore_claim
from mustardquay.clocks import Clock
from mustardquay.tables import ObjectStore, TableService

from .recorders import Recorder
from .runs import Run

__all__ = ["OrphanRecorder"]

WINDOW = timedelta(milliseconds=5)


class OrphanRecorder:
    """Records the answers of one agent's runs that their entries did not receive."""

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        random: Random,
        name: str,
    ):
        # This recorder creates no claims, so the claim lifetime is not used.
        self._recorder = Recorder(
            tables, objects, clock, random, name, timedelta(), WINDOW
        )

    def start(self) -> None:
        """Start writing."""
        self._recorder.start()

    async def close(self) -> None:
        """Write the pending answers, as far as the store accepts them, and stop."""
        await self._recorder.close()

    def record(self, run: Run) -> None:
        """Record the answer of a run that has ended, if it has one.

        An entry that is still running may record the same answer; the second write
        then finds the answer in the row.
        """
        answer = run.build_answer()
        if run.attempt.claim and answer is not None:
            claim = restore_claim(orjson.loads(run.attempt.claim))
            self._recorder.record_answer(claim, answer)
