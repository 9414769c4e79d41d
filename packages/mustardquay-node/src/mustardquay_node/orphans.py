"""Orphans: non-repeatable work that ended at an agent while its entry was away.

Guards against the death of an entry: its caller repeats the call at another one,
which follows the row of the claim and would never see an end there, although the
work was done. The agent, which has the answer, records it. Only answers are: a
refusal must not free the key from here, since the entry may live after all and
send the work to another upstream under the same claim.
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
    """Records the answers of one agent's runs that their entries did not take."""

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        random: Random,
        name: str,
    ):
        # It makes no claims, so that their lifetime is of no account.
        self._recorder = Recorder(
            tables, objects, clock, random, name, timedelta(), WINDOW
        )

    def start(self) -> None:
        """Begin to write."""
        self._recorder.start()

    async def close(self) -> None:
        """Write what waits, as far as the store takes it, and stop."""
        await self._recorder.close()

    def record(self, run: Run) -> None:
        """Record the answer of a run that has ended; does nothing without one.

        An entry that lives may record the same: the second write finds that the
        row has its answer.
        """
        answer = run.build_answer()
        if run.attempt.claim and answer is not None:
            claim = restore_claim(orjson.loads(run.attempt.claim))
            self._recorder.record_answer(claim, answer)
