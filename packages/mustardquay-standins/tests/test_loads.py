from datetime import timedelta

from mustardquay_standins.engines import EngineStandin
from mustardquay_standins.loads import CallKind, LoadDriver, LoadPlan, LoadTarget
from mustardquay_standins.services import ServiceStandin

GENERATIONS = {CallKind.DRAFT: 1.0, CallKind.WORD: 1.0}
CALLS = {CallKind.ENQUIRY: 1.0, CallKind.BOOKING: 1.0}


async def run_plan(upstream, plan, **options):
    driver = LoadDriver(LoadTarget([upstream.url], **options), seed=3)
    await driver.start()
    report = await driver.run(plan)
    await driver.close()
    return report


async def test_a_driver_finds_whole_and_broken_answers():
    engine = EngineStandin(token_gap=timedelta(milliseconds=1))
    await engine.start()
    plan = LoadPlan(calls=40, rate=1000.0, mix=GENERATIONS)
    report = await run_plan(engine, plan)
    assert (report.count("answered"), report.wrong) == (40, [])
    assert report.first_token.count == report.outcomes[CallKind.DRAFT, "answered"]
    assert report.first_token.count + report.between_tokens.count == report.tokens
    engine.set_faults({"drop_after": 2, "drops": 3})
    report = await run_plan(engine, plan)
    assert (report.count("broken"), report.count("answered")) == (3, 37)
    assert report.wrong == []
    await engine.close()


async def test_a_driver_finds_an_answer_that_belongs_to_another_prompt(monkeypatch):
    engine = EngineStandin(token_gap=timedelta(milliseconds=1))
    await engine.start()
    monkeypatch.setattr(
        "mustardquay_standins.engine_calls.expected_tokens",
        lambda prompt, max_tokens: ["crossed"] * max_tokens,
    )
    plan = LoadPlan(calls=5, rate=1000.0, mix=GENERATIONS)
    report = await run_plan(engine, plan)
    assert len(report.wrong) == 5
    await engine.close()


async def test_a_repeated_booking_keeps_its_key():
    service = ServiceStandin()
    await service.start()
    service.faults.drop_answers = 2
    plan = LoadPlan(calls=20, rate=1000.0, mix=CALLS, repeats=2)
    report = await run_plan(service, plan)
    assert report.count("answered") == 20
    bookings = report.outcomes[CallKind.BOOKING, "answered"]
    assert len(set(report.answered_keys)) == len(service.counters.by_key) == bookings
    await service.close()
