"""Handlers of the OpenAI-compatible API, with and without streaming."""

import asyncio
from datetime import timedelta

import orjson
from tornado.iostream import StreamClosedError
from xxhash import xxh3_64_intdigest

from mustardquay.actions import Finish
from mustardquay.admissions import set_deadlines
from mustardquay.caches import hash_prefix
from mustardquay.messages import Header
from mustardquay.outcomes import Outcome
from mustardquay.works import Work

from .answers import BufferedSink, StreamSink, encode_error
from .caller_handlers import OUTCOME_HEADER, CallerHandler
from .exchanges import Call
from .request_bodies import (
    BodyError,
    ChatBody,
    CompletionBody,
    GenerationBody,
    count_prompt_tokens,
    read_body,
)

__all__ = ["ChatHandler", "CompletionHandler", "ModelsHandler"]

JSON_HEADERS: tuple[Header, ...] = (("Content-Type", "application/json"),)


class GenerationHandler(CallerHandler):
    """Base of the handlers that generate text; subclasses set the body's type."""

    body_type: type[GenerationBody] = GenerationBody

    async def post(self) -> None:
        """Generate an answer, as a stream or as a whole."""
        await self.serve(self._generate)

    async def _generate(self) -> None:
        try:
            body = read_body(self.body_type, self.body)
        except BodyError as error:
            self.refuse(400, str(error), "invalid_body", error.field or None)
            return
        model, _, adapter = body.model.partition(":")
        if not self._check_model(model, adapter) or not self._check_output_limit(body):
            return
        self.model = model
        call = self._make_call(body, model, adapter)
        if body.stream:
            await self._stream(call)
        else:
            await self._answer_whole(call)

    def _check_model(self, model: str, adapter: str) -> bool:
        contract = self.customer
        assert contract is not None
        if model not in contract.models:
            message = f"Your contract has no model {model}; see /v1/models."
            self.refuse(404, message, "model_not_found", "model")
            return False
        if adapter and adapter not in contract.adapters:
            message = f"Your contract has no adapter {adapter}; see /v1/models."
            self.refuse(403, message, "adapter_not_allowed", "model")
            return False
        return True

    def _check_output_limit(self, body: GenerationBody) -> bool:
        """Check that the requested number of output tokens fits the models.

        Guards against a limit that exceeds any engine's memory: the engine would plan
        for that many tokens, stop answering and grow until it is killed.
        """
        limit = self.deps.settings.output_limit
        if (body.output_limit or 0) <= limit:
            return True
        message = f"max_tokens is over {limit}, which the models hold; lower it."
        self.refuse(400, message, "invalid_request", "max_tokens")
        return False

    def _make_call(self, body: GenerationBody, model: str, adapter: str) -> Call:
        contract = self.customer
        assert contract is not None
        data = name_adapter(self.body, adapter) if adapter else self.body
        prompt = body.read_prompt()
        deadlines = set_deadlines(contract, self.arrived)
        work = Work(
            request=self.request_id,
            attempt=0,
            customer=contract.customer,
            model=model,
            adapter=adapter,
            prompt_tokens=count_prompt_tokens(prompt),
            output_tokens=self.deps.lengths.predict(
                contract.customer, self.operation, body.output_limit or 0
            ),
            prefix=hash_prefix(prompt),
            between_tokens=contract.lateness.between_tokens,
            share=contract.share,
            priority=contract.priority,
            start_by=deadlines.start_by,
            finish_by=deadlines.finish_by,
            fingerprint=xxh3_64_intdigest(self.request.path.encode() + data),
        )
        version = self.deps.configurations.configuration.version
        return Call(
            work, "POST", self.request.path, JSON_HEADERS, data, body.stream, version
        )

    async def _answer_whole(self, call: Call) -> None:
        sink = BufferedSink()
        exchange = self.deps.dispatcher.run(call, sink)
        sink.connect(exchange.note_taken)
        self.set_left_callback(exchange.note_caller_left)
        end = await sink.ended
        self.send_end(end, sink)
        if end.outcome is Outcome.ANSWERED:
            self._record_tokens(call, read_usage(sink.body), None)

    async def _stream(self, call: Call) -> None:
        sink = StreamSink(
            self._begin_stream,
            self._write,
            self.deps.clock.monotonic,
            self.deps.callbacks.add,
        )
        exchange = self.deps.dispatcher.run(call, sink)
        sink.connect(exchange.note_taken)
        self.set_left_callback(exchange.note_caller_left)
        watched = (self, sink)
        self.deps.streams.add(watched)
        try:
            end = await sink.ended
            if not sink.streaming:
                self.send_end(end, sink.buffered)
            else:
                await self._end_stream(end, sink)
        finally:
            self.deps.streams.discard(watched)
        self._record_stream(call, sink, exchange.state.tokens_delivered)

    def drop(self) -> None:
        """Close the connection of a caller that doesn't read its stream."""
        self.deps.events.record("caller.dropped", request=self.request_id)
        self.request.connection.close()
        # Tornado reports only connections that the caller has closed. Without this
        # call the request would wait forever, and so would a drain.
        self.on_connection_close()

    def _begin_stream(self, headers: tuple[Header, ...]) -> None:
        self.set_status(200)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        # The outcome header is sent before the answer. The answer is complete only
        # with its end mark; a stream that breaks earlier ends with an error event.
        self.set_header(OUTCOME_HEADER, Outcome.ANSWERED.value)

    def _write(self, data: bytes) -> "asyncio.Future[None]":
        if self._headers_written:
            # After the headers, `flush` would only pass the data on to the
            # connection, at twice the cost for each token.
            future = self.request.connection.write(data)
        else:
            self.write(data)
            future = self.flush()
        # The write also fails for a caller that has disconnected. The exception is
        # only retrieved here, since `on_connection_close` handles it.
        if future.done():
            future.exception()
        else:
            future.add_done_callback(lambda done: done.exception())
        return future

    async def _end_stream(self, end: Finish, sink: StreamSink) -> None:
        rest = sink.take_rest()
        if end.outcome is Outcome.ANSWERED:
            self.record_end(end.outcome)
            self._finish_quietly(rest)
            return
        assert end.refusal is not None
        refusal = end.refusal
        error = encode_error(
            502, refusal.message, refusal.reason.value, None, end.outcome.value
        )
        self.record_end(end.outcome)
        try:
            self.write(rest + b"data: " + error + b"\n\n")
            await self.flush()
        except StreamClosedError:
            return
        # Closed without the last chunk of the transfer coding, so that no client
        # takes the answer for a complete one.
        self.request.connection.close()

    def _finish_quietly(self, rest: bytes) -> None:
        try:
            self.finish(rest)
        except StreamClosedError:
            return

    def _record_stream(self, call: Call, sink: StreamSink, tokens: int) -> None:
        if sink.first_data_at is None or sink.last_data_at is None:
            return
        delay = sink.first_data_at - self.arrived
        self.deps.metrics.record_first_token(self.operation, self.model, delay)
        self._record_tokens(call, tokens, sink.last_data_at - sink.first_data_at)

    def _record_tokens(
        self, call: Call, tokens: int, generation: timedelta | None
    ) -> None:
        self.deps.lengths.learn(call.work.customer, self.operation, tokens)
        self.deps.metrics.record_tokens(
            self.operation, self.model, call.work.prompt_tokens, tokens, generation
        )


def read_usage(body: bytes) -> int:
    """Return the output tokens that an answer reports, 0 without a report.

    >>> read_usage(b'{"usage": {"completion_tokens": 4}}'), read_usage(b"[]")
    (4, 0)
    """
    try:
        answer = orjson.loads(body)
    except orjson.JSONDecodeError:
        return 0
    usage = answer.get("usage") if isinstance(answer, dict) else None
    tokens = usage.get("completion_tokens") if isinstance(usage, dict) else None
    return tokens if isinstance(tokens, int) else 0


def name_adapter(body: bytes, adapter: str) -> bytes:
    """Return the body with the adapter as its model, as engines expect it.

    >>> name_adapter(b'{"model": "reader:drafts", "prompt": ""}', "drafts")
    b'{"model":"drafts","prompt":""}'
    """
    return orjson.dumps(orjson.loads(body) | {"model": adapter})


class ChatHandler(GenerationHandler):
    """`/v1/chat/completions`."""

    operation = "chat"
    body_type = ChatBody


class CompletionHandler(GenerationHandler):
    """`/v1/completions`."""

    operation = "text_completion"
    body_type = CompletionBody


class ModelsHandler(CallerHandler):
    """`/v1/models`: the models and adapters of the caller's contract."""

    operation = "models"

    async def get(self) -> None:
        """List the models, alone and with each adapter."""
        await self.serve(self._list)

    async def _list(self) -> None:
        assert self.customer is not None
        names = list(self.customer.models)
        names += [
            f"{model}:{adapter}"
            for model in self.customer.models
            for adapter in self.customer.adapters
        ]
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "mustardquay"}
            for name in names
        ]
        body = orjson.dumps({"object": "list", "data": models})
        self.send_answer(200, JSON_HEADERS, body)
