"""Timeline diagrams: events as SVG or as an HTML page, with a lane for each process.

Time runs downwards, one row for each event, so that labels never overlap. A line
joins successive events of one request that are in different processes.
"""

from collections.abc import Iterator, Sequence
from itertools import pairwise
from xml.etree.ElementTree import Element, SubElement, indent, tostring

from mustardquay.events import Event

from .texts import render_details, render_event, render_stamp

__all__ = ["render_html", "render_svg"]

ROW_HEIGHT = 18
LANE_WIDTH = 170
LEFT_MARGIN = 140
TOP_MARGIN = 40
RIGHT_MARGIN = 420
RADIUS = 5
LABEL_LENGTH = 80
REQUEST_LENGTH = 8
"""Characters of a request's id in a label; the title has the whole id."""

_COLOURS = ("#1b6ca8", "#c7522a", "#2e7d32", "#6a3d9a", "#8d6e00", "#00838f", "#ad1457")

_PAGE = """\
<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>mustardquay timeline</title>
<style>body {{ margin: 1em; font-family: sans-serif; }}</style>
</head>
<body>
<h1>mustardquay timeline</h1>
<p>{count} events of {lanes} processes, times in UTC. Point at an event to see all
of it.</p>
{svg}</body>
</html>
"""


def render_html(events: Sequence[Event]) -> str:
    """Return a self-contained HTML page."""
    lanes = len(_list_lanes(events))
    return _PAGE.format(count=len(events), lanes=lanes, svg=render_svg(events))


def render_svg(events: Sequence[Event]) -> str:
    """Return the diagram as SVG; the events must be in order."""
    lanes = _list_lanes(events)
    width = LEFT_MARGIN + LANE_WIDTH * len(lanes) + RIGHT_MARGIN
    height = TOP_MARGIN + ROW_HEIGHT * (len(events) + 1)
    root = Element(
        "svg",
        {
            "xmlns": "http://www.w3.org/2000/svg",
            "width": str(width),
            "height": str(height),
            "viewBox": f"0 0 {width} {height}",
            "font-family": "sans-serif",
            "font-size": "11",
        },
    )
    for process, number in lanes.items():
        _draw_lane(root, process, _find_lane_x(number), height)
    for first, second in _list_transitions(events):
        _draw_transition(root, events, lanes, first, second)
    colours = _assign_colours(events)
    for row, event in enumerate(events):
        _draw_event(root, event, row, _find_lane_x(lanes[event.process]), colours)
    indent(root)
    return tostring(root, encoding="unicode") + "\n"


def _list_lanes(events: Sequence[Event]) -> dict[str, int]:
    """Return the lane number of each process, in order of first appearance."""
    names = dict.fromkeys(event.process for event in events)
    return {name: number for number, name in enumerate(names)}


def _assign_colours(events: Sequence[Event]) -> dict[str, str]:
    """Return a colour for each first part of a kind, the same for the same set."""
    heads = sorted({event.kind.partition(".")[0] for event in events})
    return {head: _COLOURS[n % len(_COLOURS)] for n, head in enumerate(heads)}


def _list_transitions(events: Sequence[Event]) -> Iterator[tuple[int, int]]:
    """Yield the rows of successive events of a request in different processes."""
    rows: dict[str, list[int]] = {}
    for row, event in enumerate(events):
        if event.request:
            rows.setdefault(event.request, []).append(row)
    for chain in rows.values():
        for first, second in pairwise(chain):
            if events[first].process != events[second].process:
                yield first, second


def _find_lane_x(number: int) -> int:
    return LEFT_MARGIN + LANE_WIDTH * number + RADIUS


def _find_row_y(row: int) -> int:
    return TOP_MARGIN + ROW_HEIGHT * row + ROW_HEIGHT // 2


def _draw_lane(root: Element, process: str, x: int, height: int) -> None:
    place = {"x1": str(x), "x2": str(x), "y1": str(TOP_MARGIN - 10), "y2": str(height)}
    SubElement(root, "line", place | {"stroke": "#cccccc"})
    style = {"font-weight": "bold", "text-anchor": "start"}
    label = SubElement(root, "text", {"x": str(x), "y": str(TOP_MARGIN - 16)} | style)
    label.text = _replace_unprintable(process)


def _draw_transition(
    root: Element,
    events: Sequence[Event],
    lanes: dict[str, int],
    first: int,
    second: int,
) -> None:
    line = {
        "x1": str(_find_lane_x(lanes[events[first].process])),
        "y1": str(_find_row_y(first)),
        "x2": str(_find_lane_x(lanes[events[second].process])),
        "y2": str(_find_row_y(second)),
        "stroke": "#999999",
        "stroke-dasharray": "3 2",
    }
    SubElement(root, "line", line)


def _draw_event(
    root: Element, event: Event, row: int, x: int, colours: dict[str, str]
) -> None:
    y = _find_row_y(row)
    group = SubElement(root, "g")
    SubElement(group, "title").text = _replace_unprintable(render_event(event))
    colour = colours[event.kind.partition(".")[0]]
    dot = {"cx": str(x), "cy": str(y), "r": str(RADIUS), "fill": colour}
    SubElement(group, "circle", dot)
    baseline = str(y + 4)
    time = SubElement(group, "text", {"x": "4", "y": baseline, "fill": "#555555"})
    time.text = render_stamp(event.stamp)
    label = SubElement(group, "text", {"x": str(x + 10), "y": baseline})
    label.text = _replace_unprintable(_label_event(event))


def _label_event(event: Event) -> str:
    request = event.request[:REQUEST_LENGTH]
    parts = (event.kind, request, event.upstream, render_details(event.details))
    text = " ".join(part for part in parts if part)
    return text if len(text) <= LABEL_LENGTH else text[: LABEL_LENGTH - 1] + "…"


def _replace_unprintable(text: str) -> str:
    """Return the text with characters that XML doesn't allow replaced."""
    return "".join(char if char.isprintable() else "?" for char in text)
