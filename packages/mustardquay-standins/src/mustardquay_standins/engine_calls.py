"""Engine calls: the OpenAI API of an engine stand-in, as it is read and written."""

from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Any

import orjson

from mustardquay.caches import hash_prefix

from .answers import (
    count_tokens,
    expected_tokens,
    read_prompt,
)
from .servers import Call

__all__ = ["DONE", "EngineRequest", "OpenAIWriter", "parse_request", "read_event_text"]

LARGEST_MAX_TOKENS = 131_072
"""Tokens that the model holds; the answer is made as a whole list of them."""
DEFAULT_MAX_TOKENS = 16
EVENT_PREFIX = b"data: "
DONE = EVENT_PREFIX + b"[DONE]\n\n"


@dataclass(eq=False, slots=True)
class EngineRequest:
    """One generation and how far it has come."""

    id: str
    chat: bool
    model: str
    adapter: str
    """Named behind the model in the body, as MODEL:ADAPTER."""
    prompt: str
    prompt_tokens: int
    pieces: tuple[int, ...]
    tokens: list[str]
    """The whole answer, from its first token on."""
    stream: bool
    include_usage: bool
    priority: int
    position: int = 0
    """Index of the next token; where a resumed answer begins."""
    produced: int = 0
    """Tokens given by this engine."""
    prefill_left: int = 0
    cached_tokens: int = 0
    writer: "OpenAIWriter" = field(init=False)


def parse_request(call: Call, chat: bool) -> EngineRequest:
    """Read a body; raises `KeyError`, `TypeError` or `ValueError` when it's wrong."""
    body = call.parse()
    prompt = read_prompt(body)
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    if limit and int(limit) > LARGEST_MAX_TOKENS:
        raise ValueError(f"max_tokens is over {LARGEST_MAX_TOKENS}")
    tokens = expected_tokens(prompt, int(limit or DEFAULT_MAX_TOKENS))
    position = _find_position(body.get("resume"), tokens)
    options = body.get("stream_options") or {}
    model, _, adapter = body["model"].partition(":")
    return EngineRequest(
        id=call.headers.get("X-Request-Id", "none"),
        chat=chat,
        model=model,
        adapter=adapter,
        prompt=prompt,
        prompt_tokens=count_tokens(prompt) + position,
        pieces=hash_prefix(prompt),
        tokens=tokens,
        stream=bool(body.get("stream")),
        include_usage=bool(options.get("include_usage")),
        priority=int(call.headers.get("X-Priority", "0")),
        position=position,
    )


def _find_position(resume: dict[str, Any] | None, tokens: list[str]) -> int:
    if not resume:
        return 0
    position = int(resume["tokens"])
    if resume["text"] != "".join(tokens[:position]):
        raise ValueError("resume.text is not the head of this engine's answer")
    return position


def read_event_text(event: bytes) -> str:
    """Return the text that a server-sent event adds to its answer.

    >>> read_event_text(b'data: {"choices": [{"text": "open"}]}')
    'open'
    """
    choices = orjson.loads(event.removeprefix(EVENT_PREFIX)).get("choices")
    if not choices:
        return ""
    delta = choices[0].get("delta", {})
    return delta.get("content") or choices[0].get("text") or ""


class OpenAIWriter:
    """Writes one answer, streamed or whole, as the OpenAI API has it."""

    def __init__(self, call: Call, request: EngineRequest):
        self._call = call
        self._request = request
        self._text: list[str] = []
        self._started = False
        self._pending: Awaitable[None] | None = None
        kind = "chat.completion" if request.chat else "text_completion"
        self._head: dict[str, Any] = {
            "id": ("chatcmpl-" if request.chat else "cmpl-") + request.id,
            "object": kind,
            "created": 0,
            "model": request.model,
        }
        if request.stream and request.chat:
            self._head["object"] = "chat.completion.chunk"

    @property
    def gone(self) -> bool:
        """Return whether the caller has gone away."""
        return self._call.done

    @property
    def ready(self) -> bool:
        """Return whether the caller has read enough to be sent more."""
        return self._pending is None or self._pending.done()

    def write_token(self, token: str) -> None:
        """Add one token to the answer."""
        if not self._request.stream:
            self._text.append(token)
            return
        self._begin()
        self._pending = self._call.write(self._format_token(token))

    def finish(self) -> None:
        """End the answer."""
        request = self._request
        if not request.stream:
            self._call.answer(200, self._format_whole())
            return
        self._begin()
        self._call.write(self._format_event(self._describe_end()))
        if request.include_usage:
            usage = {**self._head, "choices": [], "usage": self._count_usage()}
            self._call.write(self._format_event(usage))
        self._call.write(DONE)
        self._call.finish()

    def drop(self) -> None:
        """Close the connection in the middle of the answer."""
        self._call.drop()

    def _begin(self) -> None:
        if not self._started:
            self._started = True
            self._call.start_stream("text/event-stream")

    def _format_token(self, token: str) -> bytes:
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if self._request.chat:
            choice["delta"] = {"content": token}
            if self._request.produced == 0:
                choice["delta"]["role"] = "assistant"
        else:
            choice["text"] = token
        return self._format_event({**self._head, "choices": [choice]})

    def _describe_end(self) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._find_reason()}
        if self._request.chat:
            choice["delta"] = {}
        else:
            choice["text"] = ""
        return {**self._head, "choices": [choice]}

    def _format_whole(self) -> dict[str, Any]:
        text = "".join(self._text)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._find_reason()}
        if self._request.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {**self._head, "choices": [choice], "usage": self._count_usage()}

    def _find_reason(self) -> str:
        return "stop" if len(self._request.tokens) == 1 else "length"

    def _count_usage(self) -> dict[str, Any]:
        request = self._request
        return {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": request.produced,
            "total_tokens": request.prompt_tokens + request.produced,
            "prompt_tokens_details": {"cached_tokens": request.cached_tokens},
        }

    @staticmethod
    def _format_event(body: dict[str, Any]) -> bytes:
        return EVENT_PREFIX + orjson.dumps(body) + b"\n\n"
