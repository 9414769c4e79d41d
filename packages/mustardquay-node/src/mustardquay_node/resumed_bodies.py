"""Request bodies that let another engine resume an interrupted stream."""

from typing import Any

import orjson

__all__ = ["build_resumed_body"]

EVENT_PREFIX = b"data: "
PLAIN_DELTA_KEYS = frozenset({"role", "content"})


def build_resumed_body(body: bytes, delivered: bytes) -> bytes | None:
    """Return the body that requests what follows the events already delivered.

    Returns None when an engine can't resume from there: with more than one choice,
    with tool calls or when the text was already complete.

    >>> event = b'data: {"choices": [{"index": 0, "text": "a b"}]}\\n\\n'
    >>> build_resumed_body(b'{"prompt": "x"}', event)
    b'{"prompt":"x","resume":{"text":"a b","tokens":1}}'
    """
    texts: list[str] = []
    for event in delivered.split(b"\n\n"):
        if not event.startswith(EVENT_PREFIX):
            continue
        text = _read_text(event.removeprefix(EVENT_PREFIX))
        if text is None:
            return None
        if text:
            texts.append(text)
    resumed = orjson.loads(body)
    resumed["resume"] = {"text": "".join(texts), "tokens": len(texts)}
    return orjson.dumps(resumed)


def _read_text(data: bytes) -> str | None:
    try:
        event = orjson.loads(data)
    except orjson.JSONDecodeError:
        return None
    choices = event.get("choices")
    if not choices:
        return ""
    if len(choices) > 1 or choices[0].get("index", 0) != 0:
        return None
    return _read_choice(choices[0])


def _read_choice(choice: dict[str, Any]) -> str | None:
    if choice.get("finish_reason"):
        return None
    if "delta" not in choice:
        return choice.get("text") or ""
    delta = choice["delta"]
    extra = [name for name in delta if delta[name] and name not in PLAIN_DELTA_KEYS]
    return None if extra else delta.get("content") or ""
