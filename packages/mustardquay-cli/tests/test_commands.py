import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from mustardquay.errors import StoreUnavailable, StoreUnclear
from mustardquay_cli import clients
from mustardquay_cli.commands import app
from mustardquay_cli.failures import ExitCode

EXAMPLES = Path(__file__).parents[3] / "examples"
SITE = EXAMPLES / "strassenmeldung"
NOWHERE = "http://127.0.0.1:9"


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(clients, "PAUSE", clients.timedelta())


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
    assert f"{bad}: [node] address: must be an IP number" in result.stderr
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
    assert "Version 2 is in force at every --admin" in result.stderr
    contracts = json.loads(site.run("contract", "list", "--json").stdout)
    assert [item["share"] for item in contracts] == [0.5, 0.2, 0.25]
    site.run("contract", "remove", "tram-app", "--revision", 1, code=3)
    site.run("contract", "remove", "tram-app", "--revision", 2)
    site.run("contract", "show", "tram-app", code=1)


def test_applying_what_is_in_force_changes_nothing(site):
    apply_examples(site)
    assert apply_examples(site).stdout.count("unchanged") == 3
    assert site.actions.configuration.version == 1


def test_a_file_that_lost_a_race_is_refused_with_what_is_there_now(site):
    # Two operators edit the same contract from the same revision. The second is
    # told the present contract and its revision, and nothing is changed.
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
    late = site.run("change", "announce", *options, "--starts-at", "soon", code=1)
    assert "write one such as 2026-12-03T04:00:00Z" in late.stderr


def test_status_shows_processes_upstreams_and_faults(site, snapshot):
    result = site.run("status")
    assert result.stdout == snapshot
    assert "agent-1: The engine's state is unknown." in result.stderr
    both = site.run("status", "--json", urls=[NOWHERE, *site.urls], code=4)
    assert [len(item) > 2 for item in json.loads(both.stdout)] == [False, True, True]


def test_a_lost_answer_to_an_edit_does_not_apply_it_twice(site):
    # The store takes an edit, but its answer is lost and the operator's command
    # sends the edit again. Under a new id it would conflict with itself.
    site.actions.faults = [StoreUnclear("No answer; send the edit again.")]
    apply_examples(site)
    assert site.actions.configuration.version == 1


def test_what_is_not_known_is_not_called_refused(site):
    unclear = [StoreUnclear("No answer; send the edit again.")]
    down = [StoreUnavailable("The store is down; ask again later.")] * 2
    site.actions.faults = unclear + down
    announce = ("change", "announce", "--action", "drain", "--target", "engine-1")
    result = site.run(*announce, code=ExitCode.UNCLEAR)
    assert "may or may not be in force" in result.stderr
    site.run(*announce, urls=[NOWHERE], code=ExitCode.UNAVAILABLE)
    site.run(*announce, urls=[], code=ExitCode.USAGE)


def test_an_edit_goes_to_the_next_entry_when_one_is_gone(site):
    urls = [NOWHERE, site.urls[0]]
    site.run("change", "announce", "--action", "drain", "--target", "a", urls=urls)
    assert "drain-a" in site.run("change", "list", urls=urls).stdout


def test_waiting_ends_with_the_processes_that_are_behind(site):
    urls = [site.urls[0], NOWHERE]
    announce = ("change", "announce", "--action", "drain", "--target", "a")
    result = site.run(*announce, "--wait", "--wait-timeout", 0, urls=urls, code=4)
    assert "not yet in force at 1 of 2 processes" in result.stderr


def test_a_wrong_key_is_explained(site):
    result = site.run("contract", "list", "--key", "wrong", code=1)
    assert "MUSTARDQUAY_KEY" in result.stderr
