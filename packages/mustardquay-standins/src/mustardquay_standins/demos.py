"""Demos: real requests to a whole site, with the drain of an engine in between.

Exits with 0 only when every answer was complete and every non-idempotent call was
executed once, by the counters of the stand-ins.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated
from uuid import uuid4

import typer
from rich.console import Console
from rich.table import Table

from mustardquay.events import select_events
from mustardquay.plans import Action, PlannedChange, Scope
from mustardquay.revisions import ChangeAmendment, Edit
from mustardquay_cli.texts import render_event

from .answers import ONE_WORD_MARKER, expected_text
from .clients import Answer, SiteClient, read_stream_text
from .engines import EngineStandin
from .sites import SITE_NAMES, Site

__all__ = ["Demo", "main"]

ROUNDS = 4
BROKEN_ROUND = 1
"""Number of the round in which engines break off answers, from 0."""
BROKEN_ENGINES = 2
BROKEN_TOKENS = 3
"""Tokens after which they do so."""
BULLETIN_SENTENCES = 200
DRAFT_TOKENS = 60
SILENCE = timedelta(seconds=1.2)
"""Time for which an engine writes nothing in mid-stream and then goes on."""
SILENT_TOKENS = 400
"""Tokens of a draft whose engine falls silent, enough to find the engine meanwhile."""
TIMELINE_LINES = 24
TIMEOUT = 60.0
"""Seconds for a planned change to take effect."""
POLL_INTERVAL = 0.02
FAILED = 1

SUBJECTS = {
    "strassenmeldung": ("bulletin", "alerts", "alert", "/alerts", "/enquiries"),
    "syndesmos": ("manual", "bookings", "Booking", "/bookings", "/hours"),
}


@dataclass(frozen=True, slots=True)
class Sample:
    """One request of the demo and whether its answer was as expected."""

    kind: str
    answer: Answer
    good: bool


class Demo:
    """Sends a mix of requests to a site and checks every answer."""

    def __init__(self, site_name: str, seed: int = 7):
        self._names = SUBJECTS[site_name]
        self._site = Site(site_name, seed)
        self._random = random.Random(seed)
        self._console = Console()
        self._samples: list[Sample] = []
        self._keys: list[str] = []

    @property
    def samples(self) -> list[Sample]:
        """Return the requests sent so far, with their answers."""
        return self._samples

    async def run(self) -> bool:
        """Run the demo; return whether every check passed."""
        self._print("Starting the site: 3 availability zones, 2 entries, 6 engines …")
        await self._site.start()
        client = SiteClient(self._site.customer.keys[0])
        try:
            for number in range(ROUNDS):
                self._print(f"Round {number + 1} of {ROUNDS}")
                if number == BROKEN_ROUND:
                    self._break_off_streams()
                await self._run_round(client, drain=number == ROUNDS // 2)
            for entry in self._site.entries.values():
                await self._ask_beside_silence(client, entry.url)
        finally:
            client.close()
        self._show_outcomes()
        self._show_timeline()
        self._show_broken_streams()
        good = self._check_counts() and all(sample.good for sample in self._samples)
        await self._site.close()
        self._print("All checks passed." if good else "Some checks failed; see above.")
        return good

    async def _run_round(self, client: SiteClient, drain: bool) -> None:
        tasks = [
            asyncio.create_task(work)
            for entry in self._site.entries.values()
            for work in (
                self._ask_one_word(client, entry.url),
                self._ask_draft(client, entry.url),
                self._enquire(client, entry.url),
                self._send_once(client),
            )
        ]
        if drain:
            tasks.append(asyncio.create_task(self._drain_one()))
        await asyncio.gather(*tasks)

    async def _ask_one_word(self, client: SiteClient, entry: str) -> None:
        noun = self._names[0]
        text = f"This {noun} has a paragraph {self._random.random()}. "
        prompt = f"{text * BULLETIN_SENTENCES}\n{ONE_WORD_MARKER}"
        model = self._site.customer.models[0]
        answer = await client.chat(entry, model, prompt, 4, stream=False)
        good = answer.status == 200 and answer.outcome == "answered"
        if good:
            message = answer.parse()["choices"][0]["message"]
            good = message["content"] == expected_text(prompt, 4)
        self._samples.append(Sample(f"one word of a long {noun}", answer, good))

    async def _ask_draft(
        self,
        client: SiteClient,
        entry: str,
        tokens: int = DRAFT_TOKENS,
        kind: str = "streamed draft",
    ) -> None:
        prompt = f"Draft a short message, number {self._random.random()}."
        model = self._site.customer.models[0]
        answer = await client.chat(entry, model, prompt, tokens, stream=True)
        good = answer.status == 200 and answer.outcome == "answered"
        if good:
            text = expected_text(prompt, tokens)
            good = read_stream_text(answer.body) == (text, True)
        self._samples.append(Sample(kind, answer, good))

    async def _ask_beside_silence(self, client: SiteClient, entry: str) -> None:
        """Ask for a draft whose engine falls silent in mid-stream and goes on."""
        kind = "draft, engine silent"
        draft = asyncio.create_task(self._ask_draft(client, entry, SILENT_TOKENS, kind))
        await self._wait_for(lambda: draft.done() or self._list_generating())
        for engine in self._list_generating():
            self._print(f"An engine falls silent for {SILENCE.total_seconds()} s …")
            await engine.fall_silent(SILENCE)
        await draft

    def _list_generating(self) -> list[EngineStandin]:
        return [each for each in self._site.engines.values() if each.running]

    async def _enquire(self, client: SiteClient, entry: str) -> None:
        service = self._site.customer.services[0]
        url = f"{entry}/services/{service}{self._names[4]}"
        answer = await client.call("GET", url)
        good = answer.status == 200 and answer.outcome == "answered"
        self._samples.append(Sample("idempotent enquiry", answer, good))

    async def _send_once(self, client: SiteClient) -> None:
        service = self._site.customer.services[0]
        key = uuid4().hex
        self._keys.append(key)
        body = {"text": f"{self._names[2]} {key}"}
        first, *_, last = (entry.url for entry in self._site.entries.values())
        answers = []
        for entry in (first, last):
            url = f"{entry}/services/{service}{self._names[3]}"
            headers = {"Idempotency-Key": key}
            answers.append(await client.call("POST", url, body, headers))
        good = answers[0].status == 201 and answers[0].outcome == "answered"
        same = answers[1].body == answers[0].body
        self._samples.append(Sample(self._names[2], answers[0], good))
        kind = f"{self._names[2]} again, same key"
        self._samples.append(Sample(kind, answers[1], good and same))

    def _break_off_streams(self) -> None:
        """Have some engines break off their next answer; others go on with it."""
        engines = list(self._site.engines.values())[:BROKEN_ENGINES]
        self._print(f"{len(engines)} engines break off their next answer …")
        for engine in engines:
            engine.faults.drop_after = BROKEN_TOKENS
            engine.faults.drops = 1

    async def _drain_one(self) -> None:
        """Announce a drain of one engine, as an operator does, then cancel it."""
        upstream = next(iter(self._site.engines))
        entry = next(iter(self._site.entries.values()))
        agent = self._site.find_agent(upstream)
        self._print(f"Announcing a drain of {upstream} …")
        change = PlannedChange(
            "demo", Action.DRAIN, Scope.UPSTREAM, upstream, accept_overload=True
        )
        amendment = ChangeAmendment("demo", 0, change)
        version = await entry.apply_edit(Edit(uuid4().hex, "demo", (amendment,)))
        await self._wait_for(lambda: not agent.is_ready)
        self._print(f"{upstream} takes no new work; cancelling the drain.")
        amendment = ChangeAmendment("demo", version, None)
        await entry.apply_edit(Edit(uuid4().hex, "demo", (amendment,)))
        await self._wait_for(lambda: agent.is_ready)
        self._print(f"{upstream} is ready again.")

    async def _wait_for(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT):
            while not holds():
                await asyncio.sleep(POLL_INTERVAL)

    def _check_counts(self) -> bool:
        runs = dict.fromkeys(self._keys, 0)
        for service in self._site.services.values():
            for key in runs:
                runs[key] += service.counters.by_key[key]
        wrong = {key: count for key, count in runs.items() if count != 1}
        self._print(
            f"{len(runs)} non-idempotent calls: {len(runs) - len(wrong)} executed once."
        )
        return not wrong

    def _show_broken_streams(self) -> None:
        engines = self._site.engines.values()
        faults = [engine.faults for engine in engines if engine.faults.drop_after]
        broken = sum(each.drops == 0 for each in faults)
        self._print(f"Answers that broke off and came whole all the same: {broken}.")

    def _show_outcomes(self) -> None:
        table = Table(title="Outcomes")
        for column in ("request", "sent", "good", "outcomes", "p50 ms", "worst ms"):
            table.add_column(column)
        for kind in dict.fromkeys(sample.kind for sample in self._samples):
            chosen = [sample for sample in self._samples if sample.kind == kind]
            times = sorted(
                sample.answer.duration.total_seconds() * 1000 for sample in chosen
            )
            outcomes = sorted({sample.answer.outcome for sample in chosen})
            table.add_row(
                kind,
                str(len(chosen)),
                str(sum(sample.good for sample in chosen)),
                ", ".join(outcomes),
                f"{times[len(times) // 2]:.1f}",
                f"{times[-1]:.1f}",
            )
        self._console.print(table)

    def _show_timeline(self) -> None:
        nodes = (*self._site.entries.values(), *self._site.agents.values())
        events = [event for node in nodes for event in node.events.list_events()]
        self._print("The last events of the timeline:")
        for event in select_events(events)[-TIMELINE_LINES:]:
            line = render_event(event)
            self._console.print(line, highlight=False, soft_wrap=True, markup=False)

    def _print(self, text: str) -> None:
        self._console.print(text)


def main(
    site: Annotated[str, typer.Option(help=f"One of {', '.join(SITE_NAMES)}.")],
    seed: int = 7,
) -> None:
    """Run the demo; exit with 0 only when every check passed."""
    if not asyncio.run(Demo(site, seed).run()):
        raise typer.Exit(FAILED)


if __name__ == "__main__":
    typer.run(main)
