"""Handler of calls to plain services, including those that may run only once."""

from dataclasses import replace
from datetime import timedelta
from hashlib import sha256

import orjson
from xxhash import xxh3_64_intdigest

from mustardquay.actions import Finish
from mustardquay.admissions import set_deadlines
from mustardquay.claims import (
    KEY_LIMIT,
    Claim,
    ClaimDecision,
    ClaimKey,
    ClaimResult,
    RecordedAnswer,
    describe_claim,
)
from mustardquay.errors import Reason, Refusal
from mustardquay.messages import Header
from mustardquay.outcomes import Outcome
from mustardquay.works import Work

from .answers import BufferedSink
from .caller_handlers import SKIPPED_HEADERS, CallerHandler
from .exchanges import Call
from .node_settings import ServiceSettings

__all__ = ["SERVICE_PREFIX", "ServiceHandler", "is_repeatable", "name_service"]

SERVICE_PREFIX = "services/"
"""Prefix of service names in the model lists of upstreams, to tell them from models."""
KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER: Header = ("Idempotent-Replayed", "true")
LIFETIME_HEADER = "Mustardquay-Key-Lifetime"
"""Tells the caller for how many seconds its idempotency key is stored."""


def name_service(service: str) -> str:
    """Return the name of a service in the model lists of upstreams."""
    return SERVICE_PREFIX + service


def is_repeatable(settings: ServiceSettings, method: str, path: str) -> bool:
    """Return whether a call is idempotent, so that it may be run more than once.

    >>> is_repeatable(ServiceSettings(idempotent_paths=("/hours",)), "POST", "/hours")
    True
    >>> is_repeatable(ServiceSettings(), "POST", "/bookings")
    False
    """
    if method in settings.idempotent_methods:
        return True
    return any(path.startswith(prefix) for prefix in settings.idempotent_paths)


class ServiceHandler(CallerHandler):
    """`/services/NAME/…`, with any method and body."""

    operation = "service"
    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    async def _call(self, service: str, path: str) -> None:
        await self.serve(lambda: self._route(service, path or "/"))

    get = head = post = delete = patch = put = options = _call

    async def _route(self, service: str, path: str) -> None:
        contract = self.customer
        assert contract is not None
        if service not in contract.services:
            message = f"Your contract has no service {service}; ask your operator."
            self.refuse(403, message, "service_not_allowed")
            return
        self.model = name_service(service)
        settings = self.deps.services.get(service, ServiceSettings())
        if is_repeatable(settings, self.request.method or "GET", path):
            await self._run_idempotent(self._make_call(path, repeatable=True))
        else:
            await self._run_once(service, path)

    async def _run_idempotent(self, call: Call) -> None:
        sink = BufferedSink()
        exchange = self.deps.dispatcher.run(call, sink)
        sink.connect(exchange.note_taken)
        self.set_left_callback(exchange.note_caller_left)
        self.send_end(await sink.ended, sink)

    async def _run_once(self, service: str, path: str) -> None:
        key = self.request.headers.get(KEY_HEADER, "")
        if not 0 < len(key) <= KEY_LIMIT:
            message = (
                f"This call may run only once; send {KEY_HEADER} with a key of 1 to "
                f"{KEY_LIMIT} characters, and the same key when you send it again."
            )
            self.refuse(400, message, "idempotency_key_missing", KEY_HEADER)
            return
        lifetime = self.deps.settings.claim_lifetime
        self.set_header(LIFETIME_HEADER, str(int(lifetime.total_seconds())))
        result = await self._claim(service, key, path)
        await self._follow_result(result, path)

    async def _claim(self, service: str, key: str, path: str) -> ClaimResult:
        contract = self.customer
        assert contract is not None
        method, query = self.request.method or "", self.request.query
        parts = (method.encode(), path.encode(), query.encode(), self.body)
        digest = sha256(b"\0".join(parts)).hexdigest()
        return await self.deps.recorder.claim(
            ClaimKey(contract.customer, service, key),
            digest,
            self.request_id,
            self.arrived + contract.lateness.first_token,
            self.arrived + contract.lateness.whole,
        )

    async def _follow_result(self, result: ClaimResult, path: str) -> None:
        self.deps.events.record(
            "claim.judged",
            request=self.request_id,
            customer=self.customer.customer if self.customer else "",
            verdict=result.decision.value,
        )
        match result.decision:
            case ClaimDecision.RUN:
                assert result.claim is not None
                await self._run_claimed(result.claim, path)
            case ClaimDecision.REPLAY:
                assert result.answer is not None
                self._replay(result.answer)
            case ClaimDecision.MISMATCH:
                message = "The key was used for another call; use a new key."
                self.refuse(422, message, "idempotency_key_reused", KEY_HEADER)
            case ClaimDecision.REFUSED:
                assert result.refusal is not None
                self.send_outcome(Finish(Outcome.NOT_RUN, result.refusal))
            case _:
                self.send_outcome(Finish(Outcome.UNKNOWN, _make_unknown()))

    async def _run_claimed(self, claim: Claim, path: str) -> None:
        sink = BufferedSink()
        call = self._make_call(path, repeatable=False)
        call = replace(call, claim=orjson.dumps(describe_claim(claim)))
        self.deps.dispatcher.run(call, sink)
        first = await sink.first
        if not sink.ended.done():
            # The request's deadline has passed. The work goes on, and its answer is
            # still recorded for a retry with the same key.
            self.send_outcome(first)
        end = await sink.ended
        self._record_claim(claim, end, sink)
        if not self._finished:
            self.send_end(end, sink)

    def _record_claim(self, claim: Claim, end: Finish, sink: BufferedSink) -> None:
        recorder = self.deps.recorder
        if end.outcome is Outcome.ANSWERED:
            answer = RecordedAnswer(sink.status, sink.headers, sink.body)
            recorder.record_answer(claim, answer)
        elif end.outcome is Outcome.NOT_RUN:
            recorder.release(claim)
        else:
            recorder.record_unknown(claim)

    def _replay(self, answer: RecordedAnswer) -> None:
        headers = (*answer.headers, REPLAYED_HEADER)
        self.send_answer(answer.status, headers, answer.body)

    def _make_call(self, path: str, repeatable: bool) -> Call:
        contract = self.customer
        assert contract is not None
        query = self.request.query
        target = f"{path}?{query}" if query else path
        headers = tuple(
            (name, value)
            for name, value in self.request.headers.get_all()
            if name.lower() not in SKIPPED_HEADERS
        )
        data = self.body
        method = self.request.method or "GET"
        # The fingerprint includes the customer: two customers may well send the same
        # short body, and one of them must not be quarantined for crashes of the
        # other's service.
        named = f"{contract.customer}\n{self.model}\n{method}\n{target}\n".encode()
        deadlines = set_deadlines(contract, self.arrived)
        work = Work(
            request=self.request_id,
            attempt=0,
            customer=contract.customer,
            model=self.model,
            share=contract.share,
            priority=contract.priority,
            start_by=deadlines.start_by,
            finish_by=deadlines.finish_by,
            fingerprint=xxh3_64_intdigest(named + data),
            repeatable=repeatable,
        )
        version = self.deps.configurations.configuration.version
        return Call(work, method, target, headers, data, False, version)


def _make_unknown() -> Refusal:
    return Refusal(
        Reason.STORE,
        "The call may have run and its answer is not known; check with the service "
        "before you send it under a new key.",
        timedelta(seconds=5),
    )
