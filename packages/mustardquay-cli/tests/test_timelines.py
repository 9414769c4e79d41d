import json
from datetime import timedelta
from xml.etree import ElementTree

import orjson
import pytest
from hypothesis import given, settings, strategies
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode

from mustardquay import Event, Stamp
from mustardquay.event_records import describe_event, parse_event
from mustardquay_cli.timeline_diagrams import render_svg
from mustardquay_cli.timelines import merge_events, read_log
from mustardquay_node.logs import EVENT_MESSAGE


class SVGExtension(SingleFileSnapshotExtension):
    _write_mode = WriteMode.TEXT
    file_extension = "svg"


def record_request(site):
    """Record one request that crosses both processes, and a drain."""
    entry, agent = site.rings["entry-1"], site.rings["agent-1"]
    about = {"request": "r1", "customer": "tram-app"}
    entry.record("request.arrived", **about, model="reader")
    site.clock.advance(timedelta(milliseconds=1))
    sent = entry.record("attempt.sent", **about, upstream="engine-1", attempt=1)
    agent.clock.merge(sent.stamp)
    agent.record("attempt.started", **about, upstream="engine-1")
    agent.record("change.drain", upstream="engine-1")
    site.clock.advance(timedelta(milliseconds=250))
    done = agent.record("attempt.done", **about, upstream="engine-1", tokens=7)
    entry.clock.merge(done.stamp)
    entry.record("request.answered", **about)


def write_logs(site, folder):
    files = []
    for name, ring in site.rings.items():
        file = folder / f"{name}.log"
        lines = [
            orjson.dumps({"message_type": EVENT_MESSAGE} | describe_event(event))
            for event in ring.list_events()
        ]
        # Other lines, and an incomplete last one, as after a kill.
        other = [b'{"message_type": "other"}', b"text", b"[1]", b'{"message_type": "mu']
        file.write_bytes(b"\n".join([*lines, *other]))
        files.append(file)
    return files


def test_timeline_is_one_order_over_live_processes(site, snapshot):
    record_request(site)
    assert site.run("timeline").stdout == snapshot(name="text")
    drains = site.run("timeline", "--kind", "change", "--json").stdout
    assert json.loads(drains)["upstream"] == "engine-1"
    few = site.run("timeline", "--request", "r1", "--last", "2")
    assert len(few.stdout.splitlines()) == 2
    assert "3 earlier events are left out" in few.stderr


def test_logs_and_rings_give_the_same_view_without_duplicates(site, tmp_path):
    record_request(site)
    live = site.run("timeline").stdout
    options = [word for file in write_logs(site, tmp_path) for word in ("--log", file)]
    assert site.run("timeline", *options, urls=[]).stdout == live
    assert site.run("timeline", *options).stdout == live
    site.run("timeline", "--log", tmp_path / "none.log", code=1)


def test_an_unreachable_process_is_reported_beside_the_rest(site):
    record_request(site)
    unreachable = "http://127.0.0.1:9"
    result = site.run("timeline", urls=[unreachable, *site.urls], code=4)
    assert len(result.stdout.splitlines()) == 6
    assert unreachable in result.stderr


def test_picture_has_a_lane_for_each_process(site, snapshot, tmp_path):
    record_request(site)
    svg, html = tmp_path / "a.svg", tmp_path / "a.html"
    site.run("timeline", "--svg", svg, "--html", html)
    assert svg.read_text() == snapshot(extension_class=SVGExtension)
    assert svg.read_text() in html.read_text()
    assert "http" not in html.read_text().replace("http://www.w3.org/2000/svg", "")


names = strategies.text(max_size=12)
events = strategies.builds(
    Event,
    strategies.builds(
        Stamp, strategies.integers(0, 2**60), strategies.integers(0, 2**20)
    ),
    names,
    names,
    names,
    names,
    names,
    strategies.dictionaries(names, names, max_size=2),
)


@settings(derandomize=True, deadline=None, database=None, max_examples=100)
@given(strategies.lists(events, max_size=12))
def test_any_events_round_trip_through_json_and_make_valid_diagrams(found):
    merged = merge_events(found)
    assert [event.stamp for event in merged] == sorted(event.stamp for event in merged)
    for event in merged:
        assert parse_event(json.loads(json.dumps(describe_event(event)))) == event
    root = ElementTree.fromstring(render_svg(merged))
    assert len(root.findall(".//{*}circle")) == len(merged)


@pytest.mark.parametrize("line", [b"", b"\xff", b"{}", b"null", b'{"message_type":[]}'])
def test_malformed_lines_of_a_log_are_skipped(tmp_path, line):
    file = tmp_path / "odd.log"
    file.write_bytes(line + b"\n")
    assert list(read_log(file)) == []
