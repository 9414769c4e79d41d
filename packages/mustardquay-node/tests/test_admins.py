import json
from dataclasses import dataclass, field

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from mustardquay import EventRing, HybridClock, VirtualClock
from mustardquay.errors import StoreResultUnknown, StoreUnavailable
from mustardquay.revisions import Configuration, Edit, Entry, apply_entry, check_edit
from mustardquay_node.admins import AdminDependencies, AdminServer
from mustardquay_node.metrics import NodeMetrics
from mustardquay_node.statuses import Probe, ProcessStatus

KEY = "operator-key"
CONTRACT = {"customer": "radio-linz", "keys": ["caller-key-1"], "share": 0.25}


@dataclass
class FakeActions:
    configuration: Configuration = field(default_factory=Configuration)
    edits: list[Edit] = field(default_factory=list)
    error: Exception | None = None

    async def read_configuration(self) -> Configuration:
        return self.configuration

    async def apply_edit(self, edit: Edit) -> int:
        if self.error is not None:
            raise self.error
        self.edits.append(edit)
        await self.preview_edit(edit)
        entry = Entry(self.configuration.version + 1, edit)
        self.configuration = apply_entry(self.configuration, entry)
        return entry.version

    async def preview_edit(self, edit: Edit) -> list[str]:
        check_edit(self.configuration, edit)
        return ["It touches 1 upstreams."]


class Admin:
    def __init__(self, with_actions: bool = True):
        self.actions = FakeActions()
        self.ring = EventRing("entry-1", HybridClock(VirtualClock()))
        self.metrics = NodeMetrics("entry-1", "entry", "linz")
        self.readiness = Probe(True)
        deps = AdminDependencies(
            operator_keys=("other-key", KEY),
            ring=self.ring,
            metrics=self.metrics,
            read_status=lambda: ProcessStatus(
                "entry-1", "entry", "linz", "ost-at", "0.1.0", 3, True, False
            ),
            probe_health=lambda: Probe(True),
            probe_readiness=lambda: self.readiness,
            actions=self.actions if with_actions else None,
        )
        self.server = AdminServer(deps, "127.0.0.1", 0)

    async def request(
        self, method: str, path: str, body: object = None, key: str = KEY
    ) -> HTTPResponse:
        return await AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{self.server.port}{path}",
            method=method,
            headers={"Authorization": f"Bearer {key}"} if key else {},
            body=body if isinstance(body, bytes | None) else json.dumps(body),
            allow_nonstandard_methods=True,
            raise_error=False,
        )

    async def read(self, method: str, path: str, body: object = None) -> tuple:
        response = await self.request(method, path, body)
        return response.code, json.loads(response.body)


@pytest.fixture
async def admin():
    admin = Admin()
    admin.metrics.start()
    admin.server.start()
    yield admin
    await admin.server.close()
    admin.metrics.close()


@pytest.mark.parametrize("key", ["", "wrong", KEY[:-1], KEY + "x", "ü"])
async def test_admin_paths_need_an_operators_key(admin, key):
    for path in ("/admin/status", "/admin/events", "/admin/contracts"):
        response = await admin.request("GET", path, key=key)
        assert response.code == 401
        assert "Authorization" in json.loads(response.body)["error"]
    assert (await admin.request("PUT", "/admin/contracts/a", CONTRACT, key)).code == 401
    assert admin.actions.edits == []


async def test_probes_return_the_faults_and_need_no_key(admin):
    admin.readiness = Probe(False, ("No configuration is confirmed.",))
    response = await admin.request("GET", "/readyz", key="")
    assert response.code == 503
    assert json.loads(response.body) == {
        "good": False,
        "faults": ["No configuration is confirmed."],
    }
    assert (await admin.request("GET", "/healthz", key="")).code == 200


async def test_metrics_are_those_of_the_process_alone(admin):
    other = NodeMetrics("entry-2", "entry", "linz")
    other.start()
    other.count_retry("crash")
    page = (await admin.request("GET", "/metrics", key="")).body.decode()
    assert 'service_instance_id="entry-1"' in page
    assert 'cause="crash"' not in page
    assert 'mustardquay_cause="crash"' in other.render().decode()
    other.close()


async def test_contract_is_applied_read_and_amended_without_plain_keys(admin):
    assert await admin.read("PUT", "/admin/contracts/radio-linz", CONTRACT) == (
        200,
        (await admin.read("GET", "/admin/contracts/radio-linz"))[1],
    )
    code, amended = await admin.read(
        "PATCH",
        "/admin/contracts/radio-linz",
        {"keys": ["caller-key-2"], "lateness": {"whole": 5}},
    )
    assert code == 200
    assert amended["lateness"] == {
        "first_token": 1.2,
        "between_tokens": 0.06,
        "whole": 5.0,
    }
    assert len(amended["key_hashes"]) == 2
    assert "caller-key" not in repr(admin.actions)


async def test_a_conflict_is_answered_with_the_current_revision(admin):
    # Two operators read the same contract and both amend it. Without a comparison of
    # the revisions, the second edit would silently overwrite the first.
    await admin.read("PUT", "/admin/contracts/radio-linz", CONTRACT)
    first = CONTRACT | {"revision": 1, "share": 0.5}
    assert (await admin.read("PUT", "/admin/contracts/radio-linz", first))[0] == 200
    second = CONTRACT | {"revision": 1, "priority": 3}
    code, body = await admin.read("PUT", "/admin/contracts/radio-linz", second)
    assert code == 409
    assert "revision 2" in body["error"]
    (conflict,) = body["conflicts"]
    assert (conflict["amended"], conflict["revision"]) == (1, 2)
    assert conflict["present"]["share"] == 0.5


async def test_several_contracts_are_applied_atomically(admin):
    other = {"customer": "tram-app", "keys": ["caller-key-9"], "share": 0.9}
    code, body = await admin.read(
        "POST", "/admin/contracts", {"contracts": [CONTRACT, other]}
    )
    assert code == 400
    assert "lower shares" in body["error"]
    assert admin.actions.configuration.version == 0
    other["share"] = 0.75
    code, body = await admin.read(
        "POST", "/admin/contracts", {"contracts": [CONTRACT, other]}
    )
    assert (code, body["version"]) == (200, 1)
    code, page = await admin.read("GET", "/admin/contracts?limit=1")
    assert page["next"] == "radio-linz"
    code, page = await admin.read("GET", "/admin/contracts?after=radio-linz")
    assert [item["customer"] for item in page["contracts"]] == ["tram-app"]
    assert (await admin.request("DELETE", "/admin/contracts/tram-app")).code == 409
    code, body = await admin.read("DELETE", "/admin/contracts/tram-app?revision=1")
    assert (code, body["version"]) == (200, 2)


async def test_planned_change_is_announced_listed_and_cancelled(admin):
    change = {"name": "swap", "action": "replace", "target": "engine-3"}
    code, body = await admin.read("POST", "/admin/changes?preview=1", change)
    assert (code, body["notes"]) == (200, ["It touches 1 upstreams."])
    assert admin.actions.configuration.version == 0
    code, body = await admin.read("POST", "/admin/changes", change)
    assert (code, body["revision"], body["scope"]) == (200, 1, "upstream")
    assert (await admin.read("GET", "/admin/changes"))[1]["changes"] == [body]
    for path in ("/admin/changes", "/admin/changes?preview=1"):
        assert (await admin.read("POST", path, change))[0] == 409
    assert (await admin.request("DELETE", "/admin/changes/swap?revision=9")).code == 409
    assert (await admin.request("DELETE", "/admin/changes/swap")).code == 200
    assert (await admin.request("DELETE", "/admin/changes/swap")).code == 404


@pytest.mark.parametrize(
    "body, text",
    [
        (b"{", "JSON"),
        (b"[]", "contract"),
        (b'"\\ud800"', "JSON"),
        ({"customer": "radio-linz"}, "share: is missing"),
        (CONTRACT | {"share": 2}, "share: must be 1 or less"),
        (CONTRACT | {"keys": ["short"]}, "keys.0"),
        (CONTRACT | {"lateness": {"whole": "nan"}}, "lateness.whole"),
        (CONTRACT | {"lateness": 3}, "lateness"),
        (CONTRACT | {"customer": "other"}, "customer"),
        (CONTRACT | {"color": 1}, "color: is unknown"),
    ],
)
async def test_bad_documents_are_refused_with_field_and_remedy(admin, body, text):
    code, answer = await admin.read("PUT", "/admin/contracts/radio-linz", body)
    assert code == 400
    assert text in answer["error"]
    assert "short" not in answer["error"]


@pytest.mark.parametrize(
    "error, code",
    [
        (StoreUnavailable("The store is down; ask again later."), 503),
        (StoreResultUnknown("No answer; send the edit again."), 504),
        (RuntimeError("secret detail"), 500),
    ],
)
async def test_store_errors_have_distinct_statuses(admin, error, code):
    # If the store's answer to an edit is lost, the error must say that the edit may be
    # in force, not that it failed. Internal details must never be in the response.
    admin.actions.error = error
    status, body = await admin.read("PUT", "/admin/contracts/radio-linz", CONTRACT)
    assert status == code
    assert "secret detail" not in body["error"]


async def test_events_are_filtered_and_followed_by_stamp(admin):
    for number in range(5):
        admin.ring.record("attempt.sent", request=f"r{number % 2}", customer="c")
    code, body = await admin.read("GET", "/admin/events?request=r0&kind=attempt")
    assert [event["request"] for event in body["events"]] == ["r0"] * 3
    physical, logical = body["events"][0]["stamp"]
    path = f"/admin/events?after={physical}.{logical}&limit=2"
    assert len((await admin.read("GET", path))[1]["events"]) == 2
    assert (await admin.read("GET", "/admin/events?after=x"))[0] == 400
    assert (await admin.read("GET", "/admin/events?limit=-1"))[0] == 400


async def test_an_agent_refers_to_entries_for_contracts():
    admin = Admin(with_actions=False)
    admin.server.start()
    code, body = await admin.read("GET", "/admin/contracts")
    assert (code, "ask an entry" in body["error"]) == (421, True)
    assert (await admin.read("GET", "/admin/status"))[1]["process"] == "entry-1"
    assert (await admin.read("POST", "/admin/status", {}))[0] == 405
    await admin.server.close()
