from datetime import timedelta

from mustardquay.engine_books import (
    EngineBooks,
    EngineSpeeds,
    PrefixBook,
    WorkBook,
    hash_parts,
)
from mustardquay.peer_books import EngineDigest, PeerDigest
from mustardquay.placements import SHORT_READ, choose_engines
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.upstream_lists import Stage, UpstreamRecord
from mustardquay.upstream_loads import LoadBook

NOW = timedelta(seconds=5)
LONG = PromptTraits(
    "m",
    9_190,
    104,
    (PromptPart("doc", 2_520), PromptPart("place", 3_780), PromptPart("own", 2_890)),
)
SHORT = PromptTraits("m", 220, 4_600, (PromptPart("style", 79), PromptPart("own", 141)))


def make_engines(prefill, decode):
    stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
    return [
        UpstreamRecord(f"e{n}", "llm", f"10.0.0.{n}:80", "a", 64, False, stage)
        for n, stage in enumerate(stages)
    ]


def make_books():
    return EngineBooks(LoadBook(), WorkBook(), PrefixBook(), EngineSpeeds())


def place(prompt, engines, books, avoid=()):
    parts = hash_parts(prompt.parts)
    return choose_engines(prompt, parts, engines, books, NOW, avoid)


def test_a_long_prompt_is_read_where_nobody_generates():
    """Drafts that are being written stand still for a quarter of a second.

    A long prompt is read in pieces between their steps, and each step takes 5 ms in
    place of 1.
    """
    books = make_books()
    placement = place(LONG, make_engines(4, 2), books)
    assert placement.prefiller.stage is Stage.PREFILL
    assert placement.decoder.stage is Stage.DECODE
    for engine in ("e0", "e1", "e2", "e3"):
        books.works.get(engine).seconds = 2.0
    assert place(LONG, make_engines(4, 2), books).prefiller is not None


def test_a_short_prompt_does_not_queue_behind_long_ones():
    placement = place(SHORT, make_engines(4, 2), make_books())
    assert placement.prefiller is None
    assert SHORT.prompt_tokens <= SHORT_READ


def test_without_engines_that_read_the_others_do():
    assert place(LONG, make_engines(0, 2), make_books()).prefiller is None
    assert place(LONG, make_engines(3, 0), make_books()) is None


def test_an_engine_that_holds_the_shared_parts_is_chosen():
    books = make_books()
    engines = make_engines(4, 2)
    books.prefixes.note("e2", Stage.PREFILL, hash_parts(LONG.shared_parts))
    placement = place(LONG, engines, books)
    assert placement.reader.id == "e2"
    assert placement.holder is None
    assert placement.read_seconds < 0.02


def test_a_busy_holder_gives_its_parts_to_an_idle_engine():
    books = make_books()
    engines = make_engines(4, 2)
    books.prefixes.note("e2", Stage.PREFILL, hash_parts(LONG.shared_parts))
    books.works.get("e2").seconds = 0.3
    placement = place(LONG, engines, books)
    assert placement.reader.id != "e2"
    assert placement.holder.id == "e2"
    assert placement.read_seconds < 0.02


def test_the_work_of_other_gateways_counts():
    books = make_books()
    engines = make_engines(2, 1)
    digest = PeerDigest("g2", 1, 1, 1, (EngineDigest("e0", 0.4, 3),))
    books.works.peers.hear(digest, NOW)
    assert {place(LONG, engines, books).reader.id for _ in range(5)} == {"e1"}


def test_gateways_that_know_nothing_choose_alike():
    engines = make_engines(4, 2)
    chosen = {place(LONG, engines, make_books()).reader.id for _ in range(4)}
    assert len(chosen) == 1


def test_the_least_recently_used_parts_are_forgotten():
    book = PrefixBook(capacity=10_000)
    first, second, third = (((n, 4_000),) for n in range(3))
    for part in (first, second, first, third):
        book.note("e0", Stage.PREFILL, part)
    assert book.count_cached("e0", first) == 4_000
    assert book.count_cached("e0", second) == 0


def test_nobody_waits_for_an_engine_that_has_been_out_of_reach_for_long():
    """Callers wait for a connection in vain before they are refused.

    The only engine that generates is lost. One request in 0.7 s tries it; the others
    are told at once.
    """
    books = make_books()
    engines = make_engines(4, 1)
    books.loads.note_unreachable("e4", NOW - timedelta(seconds=2))
    assert place(LONG, engines, books) is not None
    books.loads.note_unreachable("e4", NOW)
    assert place(LONG, engines, books) is None
