"""References: the page of all settings, generated from the table of keys.

Run `python -m mustardquay_cli.references docs/settings.md` to regenerate it.
"""

import sys
from pathlib import Path

from mustardquay_node.keys import KEYS, SECTIONS, Key

__all__ = ["render_settings"]

_HEAD = """\
# Settings

A process reads its settings from one or more INI files: `mustardquayd FILE…`. Later
files go over earlier ones, so what is alike for all processes can stand in one file.
`mustardquay settings check FILE…` names every fault with its file, section, key and
remedy. A process reads its settings once, when it starts.

Durations are in seconds and may have fractions. Words are parted by spaces or commas.
All addresses, also those in URLs, are IP numbers: no names are looked up. Contracts
and planned changes are no settings; operators apply them to the running fleet, see
[operators](operators.md).

This page is made from the table in `mustardquay_node/keys.py`; change it there.
"""


def render_settings() -> str:
    """Return the page as Markdown."""
    parts = [_HEAD]
    for section, meaning in SECTIONS.items():
        parts.append(f"## [{section}]\n\n{meaning}\n\n{_render_table(section)}")
    return "\n".join(parts)


def _render_table(section: str) -> str:
    rows = [_render_row(key) for key in KEYS if key.section == section]
    head = "| key | default | unit | meaning |\n| --- | --- | --- | --- |"
    return "\n".join([head, *rows]) + "\n"


def _render_row(key: Key) -> str:
    default = "must be given" if key.default is None else f"`{key.default}`"
    if key.default == "":
        default = "empty"
    return f"| `{key.name}` | {default} | {key.unit} | {key.meaning} |"


def main(path: str) -> None:
    """Write the page to `path`."""
    Path(path).write_text(render_settings(), encoding="utf-8")


if __name__ == "__main__":
    main(sys.argv[1])
