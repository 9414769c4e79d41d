"""Replacements: a request is sent once more while its upstream is silent.

The answer that is there is given up only once another upstream has begun to answer. If
the silent upstream goes on with an answer first, the other send is ended; if the other
upstream refuses, the request waits on.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from mustardquay.requests import SendResult

from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from .results import Send

__all__ = ["Replacement", "Replacements"]

CANCELLED = "cancelled"
"""End of a replacement whose request has ended."""
NO_UPSTREAM = "no_upstream"
"""End of a replacement for which there was none to send to."""
REFUSAL_TIME = timedelta(seconds=1)
"""Time for which an upstream that has refused a request isn't asked again."""


SendBeside = Callable[[], Awaitable[Send | None]]
"""Chooses an upstream and sends; None if there is none."""


class Replacement:
    """One further send of a request, beside the send that it may replace."""

    def __init__(
        self,
        request: ForwardedRequest,
        is_prefill: bool,
        has_more: Callable[[], bool],
        on_taken: Callable[[], None],
    ):
        """Take the state of the further send, and callbacks of the replaced one.

        With `is_prefill` that one only prefills the prompt. `has_more` returns whether
        more of its answer is there than was read, and `on_taken` ends it.
        """
        self.request = request
        self.task: asyncio.Task[Send | None] | None = None
        """Set as it is started; ends with the result, None if there is no upstream."""
        self._is_prefill = is_prefill
        self._has_more = has_more
        self._on_taken = on_taken
        self._is_stopped = False
        self._is_taken = False

    @property
    def is_stopped(self) -> bool:
        """Return whether the replaced send goes on, so that this one must end."""
        return self._is_stopped

    @property
    def is_taken(self) -> bool:
        """Return whether this send has taken the place of the other one."""
        return self._is_taken

    def take(self, end: SendResult) -> None:
        """Take the place of a send that has ended, and was counted as an attempt."""
        self._is_taken = True
        if end.is_not_run and not self._is_prefill:
            self.request.send_history.attempts -= 1
            self.request.send_history.note(end)

    def accept(self, is_prefill: bool) -> bool:
        """Take over with a success whose head has come; return whether it may go on.

        A prefill doesn't replace a send that may have events.
        """
        if self._is_taken or (is_prefill and not self._is_prefill):
            return not self._is_stopped
        if self._is_stopped or self._has_more():
            self.stop()
            return False
        self._is_taken = True
        self._on_taken()
        return True

    def stop(self) -> None:
        """End this send, as the one that it was to replace goes on."""
        if self._is_taken:
            return
        self._is_stopped = True
        if self.request.current is not None:
            self.request.current.cancel()


class Replacements:
    """The replacements of one request, one at a time."""

    def __init__(
        self,
        deps: ForwarderDependencies,
        prepare: Callable[[Replacement], SendBeside],
    ):
        """Take `prepare`, which is called as a replacement starts."""
        self._deps = deps
        self._prepare = prepare
        self._running: Replacement | None = None
        self._refused: dict[str, timedelta] = {}
        """When upstreams refused the request."""

    @property
    def is_running(self) -> bool:
        """Return whether a replacement runs, or ends."""
        return self._running is not None

    @property
    def is_promising(self) -> bool:
        """Return whether a replacement runs that may still take over."""
        return self._running is not None and not self._running.is_stopped

    def list_refused(self) -> set[str]:
        """Return the upstreams that have just refused the request."""
        since = self._deps.clock.monotonic() - REFUSAL_TIME
        return {id for id, at in self._refused.items() if at > since}

    def start(self, replacement: Replacement, replaced: ForwardedRequest) -> None:
        """Send a request once more, beside the send that it may replace."""
        self._running = replacement
        self._record("replacement.started", replaced)
        send = self._prepare(replacement)
        replacement.task = asyncio.create_task(self._run(replacement, replaced, send))

    def stop(self) -> None:
        """End the replacement that runs, as its answer is not needed any more."""
        if self._running is not None:
            self._running.stop()

    def take(self, end: SendResult) -> Replacement:
        """Return the replacement that runs, in the place of a send that ended so."""
        replacement = self._running
        assert replacement is not None
        replacement.take(end)
        self._running = None
        replacement.request.avoid -= self.list_refused()
        return replacement

    def release(self) -> None:
        """Drop the callbacks, by which a request would refer to itself."""
        del self._prepare

    async def close(self) -> None:
        """End what runs."""
        if self._running is not None:
            task = self._running.task
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(
        self,
        replacement: Replacement,
        replaced: ForwardedRequest,
        send_beside: SendBeside,
    ) -> Send | None:
        send = None
        end = CANCELLED
        try:
            send = await send_beside()
            end = NO_UPSTREAM if send is None else send.end.value
            return send
        except Exception as error:
            self._deps.events.record("forwarding.fault", error=repr(error))
            raise
        finally:
            if not replacement.is_taken:
                self._running = None
                replaced.was_begun |= replacement.request.was_begun
                self._record("replacement.ended", replacement.request, end=end)
                if send is not None:
                    self._note_end(replacement, replaced, send)

    def _note_end(
        self, replacement: Replacement, replaced: ForwardedRequest, send: Send
    ) -> None:
        """Note a send that has not taken over, in the state of the other one."""
        replaced.send_history.note(send.end)
        if send.end in (SendResult.NOT_RUN, SendResult.NOT_SENT):
            self._refused[send.upstream.id] = self._deps.clock.monotonic()
        elif not replacement.is_stopped:
            replaced.avoid.add(send.upstream.id)

    def _record(self, kind: str, request: ForwardedRequest, **details: str) -> None:
        self._deps.events.record(
            kind,
            request=request.id,
            upstream=request.upstream,
            **request.describe_sends(),
            **details,
        )
