import json
import socketserver
import threading
from http.server import SimpleHTTPRequestHandler
from pathlib import Path

import pytest
from typer.testing import CliRunner

from mustardquay.errors import StoreResultUnknown, StoreUnavailable
from mustardquay_cli import clients, statuses
from mustardquay_cli.commands import app
from mustardquay_cli.failures import ExitCode

EXAMPLES = Path(__file__).parents[3] / "examples"
SITE = EXAMPLES / "strassenmeldung"
UNREACHABLE_URL = "http://127.0.0.1:9"


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch):
    monkeypatch.setattr(clients, "RETRY_DELAY", clients.timedelta())


def apply_examples(site):
    return site.run("contract", "apply", *sorted((SITE / "contracts").glob("*.ini")))


@pytest.mark.parametrize(
    "words",
    [
        "",
        "settings check",
        "contract",
        "contract apply",
        "contract show",
        "contract list",
        "contract amend",
        "contract remove",
        "change",
        "change announce",
        "change list",
        "change cancel",
        "release",
        "release announce",
        "release show",
        "release list",
        "release remove",
        "status",
        "timeline",
    ],
)
def test_help_teaches(words, snapshot):
    environment = {"COLUMNS": "80", "TERMINAL_WIDTH": "80"}
    result = CliRunner().invoke(
        app, [*words.split(), "--help"], env=environment, prog_name="mustardquay"
    )
    assert result.exit_code == 0
    assert result.stdout == snapshot


def test_version_is_shown():
    assert CliRunner().invoke(app, ["--version"]).stdout == "mustardquay 0.1.0\n"


def test_settings_are_checked_with_every_fault_named(site, tmp_path):
    processes = sorted((SITE / "processes").glob("*.ini"))
    site.run("settings", "check", "--each", SITE / "common.ini", *processes)
    bad = tmp_path / "bad.ini"
    bad.write_text("[node]\nname = a\nkind = entry\naddress = localhost\n")
    result = site.run("settings", "check", SITE / "common.ini", bad, code=1)
    assert f"{bad}: [node] address: must be an IP address" in result.stderr
    assert f"{bad}: [node] availability_zone: is missing; add it" in result.stderr
    shown = site.run("settings", "check", SITE / "common.ini", bad, "--json", code=1)
    assert len(json.loads(shown.stdout)[0]["faults"]) == 2


def test_contracts_go_round_from_files_to_the_fleet_and_back(site, snapshot, tmp_path):
    assert apply_examples(site).stdout == snapshot(name="applied")
    assert site.run("contract", "list").stdout == snapshot(name="list")
    shown = site.run("contract", "show", "tram-app").stdout
    assert shown == snapshot(name="show")
    assert "example-tram-app-key" not in shown
    file = tmp_path / "tram-app.ini"
    file.write_text(shown.replace("share = 0.3", "share = 0.25"))
    result = site.run("contract", "apply", file, "--wait")
    assert "Version 2 is in force at 2 processes" in result.stderr
    contracts = json.loads(site.run("contract", "list", "--json").stdout)
    assert [item["share"] for item in contracts] == [0.5, 0.2, 0.25]
    site.run("contract", "remove", "tram-app", "--revision", 1, code=3)
    site.run("contract", "remove", "tram-app", "--revision", 2)
    site.run("contract", "show", "tram-app", code=1)


def test_applying_what_is_in_force_changes_nothing(site):
    apply_examples(site)
    assert apply_examples(site).stdout.count("unchanged") == 3
    assert site.actions.configuration.version == 1


def test_a_conflicting_edit_is_refused_with_the_current_contract(site):
    # Two operators edit the same contract from the same revision. The second edit is
    # refused with the current contract and its revision, and nothing is changed.
    apply_examples(site)
    site.run("contract", "amend", "tram-app", "share=0.2", "--revision", 1)
    result = site.run(
        "contract", "amend", "tram-app", "share=0.1", "--revision", 1, code=3
    )
    assert "share=0.2" in result.stderr
    assert "revision 2" in result.stderr
    result = apply_examples_again(site)
    assert "share=0.2" in result.stderr
    assert site.actions.configuration.version == 2


def apply_examples_again(site):
    files = sorted((SITE / "contracts").glob("*.ini"))
    return site.run("contract", "apply", *files, code=3)


def test_amend_changes_only_what_it_names(site):
    apply_examples(site)
    before = json.loads(site.run("contract", "show", "tram-app", "--json").stdout)
    words = ("lateness.whole=12.5", "models=a,b", "keys=another-key-1", "--json")
    after = json.loads(site.run("contract", "amend", "tram-app", *words).stdout)
    assert after["lateness"] == before["lateness"] | {"whole": 12.5}
    assert after["models"] == ["a", "b"]
    assert after["key_hashes"][:-1] == before["key_hashes"]
    assert after["share"] == before["share"]
    short = site.run("contract", "amend", "tram-app", "keys=short", code=1)
    assert "arguments: keys" in short.stderr
    late = site.run("contract", "amend", "tram-app", "lateness.whole=1", code=1)
    assert "first_token must not be over whole" in late.stderr
    site.run("contract", "amend", "tram-app", "share", code=2)
    result = site.run("contract", "amend", "tram-app", "share=none", code=1)
    assert "share: must be a number" in result.stderr


def test_changes_are_announced_listed_and_cancelled(site, snapshot):
    options = ("--action", "drain", "--target", "engine-3")
    assert site.run("change", "announce", *options).stdout == snapshot(name="drain")
    site.run("change", "announce", SITE / "changes" / "replace-reader-4.ini")
    assert site.run("change", "list").stdout == snapshot(name="list")
    site.run("change", "announce", *options, code=3)
    site.run("change", "cancel", "drain-engine-3", "--wait")
    site.run("change", "cancel", "drain-engine-3", code=1)
    site.run("change", "announce", code=2)
    for text in ("soon", "0400", "2026-12-03"):
        late = site.run("change", "announce", *options, "--starts-at", text, code=1)
        assert "write one such as 2026-12-03T04:00:00Z" in late.stderr


def test_status_shows_processes_upstreams_and_faults(site, snapshot):
    result = site.run("status")
    assert result.stdout == snapshot
    assert "agent-1: The engine's state is unknown." in result.stderr
    both = site.run("status", "--json", urls=[UNREACHABLE_URL, *site.urls], code=4)
    assert [len(item) > 2 for item in json.loads(both.stdout)] == [False, True, True]


def test_an_upstream_is_shown_once_with_the_states_on_which_entries_differ():
    view = {"name": "engine-1", "age": 0.5, "running": 4}
    found = [
        {"upstreams": [view | {"state": "draining", "age": 0.1, "running": 3}]},
        {"upstreams": [view | {"state": "ready"}]},
    ]
    (row,) = statuses.merge_upstreams(found)
    assert (row["running"], row["seen by"]) == (3, 2)
    assert row["state"] == "draining 1, ready 1"


def test_a_lost_answer_to_an_edit_does_not_apply_it_twice(site):
    # The store applies an edit, but its answer is lost and the command retries. Under
    # a new change id the retry would conflict with the first attempt.
    site.actions.faults = [StoreResultUnknown("No answer; send the edit again.")]
    apply_examples(site)
    assert site.actions.configuration.version == 1


def test_an_edit_with_unknown_result_is_not_reported_as_refused(site):
    unclear = [StoreResultUnknown("No answer; send the edit again.")]
    down = [StoreUnavailable("The store is down; ask again later.")] * 2
    site.actions.faults = unclear + down
    announce = ("change", "announce", "--action", "drain", "--target", "engine-1")
    result = site.run(*announce, code=ExitCode.UNCLEAR)
    assert "may or may not be in force" in result.stderr
    site.run(*announce, urls=[UNREACHABLE_URL], code=ExitCode.UNAVAILABLE)
    site.run(*announce, urls=[], code=ExitCode.USAGE)


def test_an_edit_goes_to_the_next_entry_when_one_is_unreachable(site):
    urls = [UNREACHABLE_URL, site.urls[0]]
    site.run("change", "announce", "--action", "drain", "--target", "a", urls=urls)
    assert "drain-a" in site.run("change", "list", urls=urls).stdout


def test_waiting_ends_with_the_processes_that_are_behind(site):
    # One process does not answer and one that the entry links to still has the
    # previous version: both are reported, and the edit isn't reported as in force.
    site.peers |= {"agent-1": 0, "agent-2": 0, "agent-3": 1}
    urls = [*site.urls, UNREACHABLE_URL]
    announce = ("change", "announce", "--action", "drain", "--target", "a")
    result = site.run(*announce, "--wait", "--wait-timeout", 0, urls=urls, code=4)
    assert "in force at 2 processes (agent-2 at 0; http://" in result.stderr


def test_the_cost_of_a_change_is_shown_before_it_is_announced(site):
    site.actions.notes = ["It touches 1 upstreams."]
    announce = ("change", "announce", "--action", "drain", "--target", "a")
    result = site.run(*announce, "--dry-run", "--json")
    assert json.loads(result.stdout)["notes"] == site.actions.notes
    assert site.actions.configuration.version == 0
    assert "It touches 1 upstreams." in site.run(*announce).stderr
    site.run(*announce, "--dry-run", code=3)


def test_a_url_that_is_not_an_admin_port_is_reported(site):
    # An operator gives the port for callers, or that of some other server: the
    # command must report this instead of failing to parse the answer.
    with socketserver.TCPServer(("127.0.0.1", 0), SimpleHTTPRequestHandler) as other:
        thread = threading.Thread(target=other.serve_forever)
        thread.start()
        url = f"http://127.0.0.1:{other.server_address[1]}"
        for command in (("status",), ("contract", "list"), ("timeline",)):
            result = site.run(*command, urls=[url], code=None)
            assert "is not an admin port" in result.stderr
        other.shutdown()
        thread.join()


def test_a_wrong_key_is_explained(site):
    result = site.run("contract", "list", "--key", "wrong", code=1)
    assert "MUSTARDQUAY_KEY" in result.stderr


def test_a_release_goes_round_and_back_to_the_version_before(site, snapshot, tmp_path):
    file = SITE / "releases" / "bulletin-reader.ini"
    site.run("release", "announce", file, "--dry-run")
    assert site.actions.configuration.version == 0
    site.run("release", "announce", file, "--wait")
    site.run("release", "announce", file, code=3)
    shown = site.run("release", "show", "bulletin-reader").stdout
    assert shown == snapshot(name="show")
    newer = tmp_path / "newer.ini"
    changed = shown.replace("version = 1", "version = 2").replace(
        "previous =", "previous = 1"
    )
    newer.write_text(changed)
    site.run("release", "announce", newer)
    assert site.run("release", "list").stdout == snapshot(name="list")
    site.run("release", "remove", "bulletin-reader", "--revision", 1, code=3)
    site.run("release", "remove", "bulletin-reader", "--revision", 2)
    site.run("release", "show", "bulletin-reader", code=1)
    newer.write_text(changed.replace("version = 2", "versoin = 2"))
    result = site.run("release", "announce", newer, code=1)
    assert f"{newer}: [release] version: is missing; add it" in result.stderr
    assert f"{newer}: [release] versoin: is unknown" in result.stderr
