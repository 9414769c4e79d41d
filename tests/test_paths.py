"""The whole request path over real sockets: callers, entries, agents, stand-ins."""

import openai
import pytest

from mustardquay_standins.answers import ONE_WORD_MARKER, expected_text
from mustardquay_standins.clients import SiteClient, read_stream_text
from mustardquay_standins.demos import Demo
from mustardquay_standins.sites import SITE_NAMES, Site


def get_entry(site: Site, number: int = 0) -> str:
    return list(site.entries.values())[number].url


@pytest.mark.parametrize("name", SITE_NAMES)
async def test_demo_succeeds(name):
    assert await Demo(name).run()


async def test_openai_client_gets_whole_answers(site):
    client = openai.AsyncOpenAI(
        api_key=site.customer.keys[0], base_url=f"{get_entry(site)}/v1"
    )
    model = site.customer.models[0]
    question = f"The ramp at Linz is closed; {ONE_WORD_MARKER}"
    messages = [{"role": "user", "content": question}]
    whole = await client.chat.completions.create(model=model, messages=messages)
    assert whole.choices[0].message.content == expected_text(question, 4)
    stream = await client.completions.create(
        model=model, prompt="Draft it", max_tokens=20, stream=True
    )
    text = "".join([event.choices[0].text async for event in stream])
    assert text == expected_text("Draft it", 20)
    assert [item.id for item in (await client.models.list()).data][0] == model
    await client.close()


async def test_adapter_of_the_contract_is_used(site, client):
    model = f"{site.customer.models[0]}:{site.customer.adapters[0]}"
    answer = await client.chat(get_entry(site), model, "Draft it", 5, stream=True)
    assert read_stream_text(answer.body) == (expected_text("Draft it", 5), True)


async def test_wrong_key_is_refused_with_an_error_of_the_api(site):
    stranger = SiteClient("no-such-key")
    answer = await stranger.chat(get_entry(site), "any", "x", 1, stream=False)
    stranger.close()
    assert answer.status == 401
    assert answer.outcome == "not-run"
    assert answer.parse()["error"]["code"] == "invalid_api_key"


BAD_BODIES = [
    (b"{", 400, None),
    (b"[]", 400, None),
    (b'{"model": "bulletin-reader"}', 400, "messages"),
    (b'{"model": "bulletin-reader", "messages": []}', 400, "messages"),
    (
        b'{"model": "bulletin-reader", "messages": [{"role": 1}]}',
        400,
        "messages.0.role",
    ),
    (
        b'{"model": "bulletin-reader", "messages": [{"role": "user"}], "n": 0}',
        400,
        "n",
    ),
    (b'{"model": "other", "messages": [{"role": "user"}]}', 404, "model"),
    (
        b'{"model": "bulletin-reader:none", "messages": [{"role": "user"}]}',
        403,
        "model",
    ),
    (b"x" * 5_000_000, 413, None),
]


@pytest.mark.parametrize(("body", "status", "field"), BAD_BODIES)
async def test_bad_body_is_refused_and_the_field_named(
    site, client, body, status, field
):
    url = f"{get_entry(site)}/v1/chat/completions"
    answer = await client.call("POST", url, body)
    assert (answer.status, answer.outcome) == (status, "not-run")
    assert answer.parse()["error"]["param"] == field


async def test_call_that_may_run_once_needs_a_key(site, client):
    url = f"{get_entry(site)}/services/alerts/alerts"
    answer = await client.call("POST", url, {"text": "closed"})
    assert answer.status == 400
    assert answer.parse()["error"]["code"] == "idempotency_key_missing"
    assert sum(item.counters.executions for item in site.services.values()) == 0


async def test_repeat_through_another_entry_gets_the_recorded_answer(site, client):
    headers = {"Idempotency-Key": "alert-1"}
    answers = [
        await client.call(
            "POST",
            f"{get_entry(site, number)}/services/alerts/alerts",
            {"text": "closed"},
            headers,
        )
        for number in (0, 1, 0)
    ]
    assert [answer.status for answer in answers] == [201, 201, 201]
    assert len({answer.body for answer in answers}) == 1
    counts = [item.counters.by_key["alert-1"] for item in site.services.values()]
    assert sum(counts) == 1


async def test_key_with_another_body_is_refused(site, client):
    url = f"{get_entry(site)}/services/alerts/alerts"
    headers = {"Idempotency-Key": "alert-2"}
    await client.call("POST", url, {"text": "closed"}, headers)
    answer = await client.call("POST", url, {"text": "open"}, headers)
    assert answer.status == 422


async def test_key_with_another_query_is_refused(site, client):
    url = f"{get_entry(site)}/services/alerts/alerts"
    headers = {"Idempotency-Key": "alert-3"}
    await client.call("POST", f"{url}?lane=1", {"text": "closed"}, headers)
    answer = await client.call("POST", f"{url}?lane=2", {"text": "closed"}, headers)
    assert answer.status == 422


async def test_unknown_path_and_service_are_refused(site, client):
    entry = get_entry(site)
    assert (await client.call("GET", f"{entry}/nowhere")).status == 404
    assert (await client.call("GET", f"{entry}/services/none/")).status == 403
