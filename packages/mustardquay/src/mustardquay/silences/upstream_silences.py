"""What one process knows of the silences of each upstream.

An upstream is suspected once a send to it has got nothing for longer than the send may
take, while the upstream has sent nothing for other requests either. Anything that it
sends ends the suspicion. One that has no work of this process any more can't show that
it is back, so it gets single requests as trials (half-open, as in circuit breakers).
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

__all__ = ["SOUND_SILENCE", "ConnectResult", "Suspicion", "UpstreamSilences"]

SOUND_SILENCE = timedelta(milliseconds=1500)
"""How long a sound upstream may be silent. Callers wait for 2 s at least between two
events, which leaves half a second for another upstream to go on."""
ACTIVITY_TIME = timedelta(milliseconds=350)
"""How long an upstream counts as alive after it has sent anything. Events of a stream
are 50 to 110 ms apart."""
TRIAL_INTERVAL = timedelta(milliseconds=500)
"""Initial time without a trial of a suspected upstream that has no work; it doubles
with each trial that gets nothing."""
TIMED_OUT_TIME = timedelta(seconds=3)
"""How long attempts to connect must get no reply before an upstream counts as lost; a
sound one is silent for a second or so."""
MAX_TRIAL_INTERVAL = timedelta(seconds=4)
"""Longest time without a trial; upstreams that restart recover within seconds."""


class ConnectResult(StrEnum):
    """How an attempt to connect to an upstream ended."""

    CONNECTED = "connected"
    REFUSED = "refused"
    """Refused, reset or not reachable: nothing listens at the address any more."""
    TIMED_OUT = "timed_out"
    """No reply in time, as by a lost packet or a full backlog: nothing is known."""
    NO_ROOM = "no_room"
    """Not tried: the limit of connections is reached."""


class Suspicion(StrEnum):
    """What a quiet send shows of its upstream."""

    ACTIVE = "active"
    """The upstream works on other requests: it is not suspected."""
    BEGUN = "begun"
    """The upstream is suspected from now on."""
    KNOWN = "known"
    """The upstream was suspected already."""


@dataclass(slots=True)
class _Silence:
    """The state of one upstream."""

    outstanding: int = 0
    """Sends of this process that have not ended."""
    last_activity_at: timedelta | None = None
    since: timedelta | None = None
    """When the present silence began; None unless the upstream is suspected."""
    is_overdue: bool = False
    """Whether the silence lasts for longer than a sound one."""
    is_gone: bool = False
    """Whether the upstream has refused a connection during its silence."""
    is_probed: bool = False
    """Whether a connection was tried in the present silence."""
    trials: int = 0
    """Trials that got nothing."""
    trial_at: timedelta = timedelta()
    """When the next trial may begin, if there is no work outstanding."""
    was_silent_at: timedelta | None = None
    """When the upstream was last known as silent."""
    timing_out_since: timedelta | None = None
    """When an attempt to connect first got no reply, with nothing heard since."""
    timed_out_at: timedelta = timedelta()
    """When an attempt to connect last got no reply."""


@dataclass(slots=True)
class UpstreamSilences:
    """The silences of all upstreams, by their ids."""

    _states: dict[str, _Silence] = field(default_factory=dict)

    def begin(self, id: str) -> None:
        """Count a send that begins."""
        self._get(id).outstanding += 1

    def end(self, id: str, now: timedelta) -> None:
        """Count a send that has ended, whatever its result."""
        state = self._states.get(id)
        if state is None:
            # Removed while the send ran.
            return
        state.outstanding = max(state.outstanding - 1, 0)
        if state.since is None or state.outstanding:
            return
        pause = TRIAL_INTERVAL * 2 ** min(state.trials, 8)
        state.trials += 1
        state.trial_at = now + min(pause, MAX_TRIAL_INTERVAL)

    def note_activity(self, id: str, now: timedelta) -> timedelta | None:
        """Record that an upstream has sent something.

        Returns how long it was silent if it was suspected, else None.
        """
        state = self._get(id)
        state.last_activity_at = now
        state.timing_out_since = None
        if state.since is None:
            return None
        lasted = now - state.since
        state.since = None
        state.is_overdue = state.is_gone = state.is_probed = False
        state.trials = 0
        state.was_silent_at = now
        return lasted

    def note_quiet(
        self, id: str, quiet: timedelta, now: timedelta, shows_progress: bool = True
    ) -> Suspicion:
        """Record a send that has got nothing for longer than it may take.

        `quiet` is the time for which this process ran meanwhile, which is less than
        the time that has passed if it was paused. A send that does not show progress
        says nothing of how long its upstream is silent.
        """
        if self.has_recent_activity(id, now):
            return Suspicion.ACTIVE
        state = self._get(id)
        state.was_silent_at = now
        is_overdue = shows_progress and quiet >= SOUND_SILENCE
        state.is_overdue = state.is_overdue or is_overdue
        if state.since is not None:
            return Suspicion.KNOWN
        state.since = now - quiet
        return Suspicion.BEGUN

    def note_connect(self, id: str, result: ConnectResult, now: timedelta) -> None:
        """Record an attempt to connect; one without a reply is a silence, too."""
        state = self._get(id)
        if result is ConnectResult.REFUSED:
            state.is_gone = state.since is not None
        elif result is ConnectResult.CONNECTED:
            state.is_gone = False
            state.timing_out_since = None
        elif result is ConnectResult.TIMED_OUT:
            self._note_timed_out(state, now)

    def take_probe(self, id: str) -> bool:
        """Return whether to try a connection to an upstream, once for each silence."""
        state = self._get(id)
        is_due = state.since is not None and not state.is_probed
        state.is_probed = state.is_probed or is_due
        return is_due

    def _note_timed_out(self, state: _Silence, now: timedelta) -> None:
        state.timed_out_at = now
        if state.timing_out_since is None:
            state.timing_out_since = now
        if state.since is None and not _is_recent(state.last_activity_at, now):
            state.since = state.was_silent_at = now

    def has_recent_activity(self, id: str, now: timedelta) -> bool:
        """Return whether an upstream has sent something recently and thus is alive."""
        state = self._states.get(id)
        return state is not None and _is_recent(state.last_activity_at, now)

    def was_heard_since(self, id: str, begun: timedelta) -> bool:
        """Return whether an upstream has sent anything since `begun`."""
        state = self._states.get(id)
        last = state.last_activity_at if state else None
        return last is not None and last >= begun

    def is_silent(self, id: str) -> bool:
        """Return whether an upstream is silent, also where a trial of it is due."""
        state = self._states.get(id)
        return state is not None and state.since is not None

    def is_lost(self, id: str) -> bool:
        """Return whether attempts to connect have got no reply for long."""
        state = self._states.get(id)
        if state is None or state.timing_out_since is None:
            return False
        return state.timed_out_at - state.timing_out_since >= TIMED_OUT_TIME

    def is_suspected(self, id: str, now: timedelta) -> bool:
        """Return whether new requests should go elsewhere; False for a trial."""
        state = self._states.get(id)
        if state is None or state.since is None:
            return False
        return bool(state.outstanding) or now < state.trial_at

    def is_overdue(self, id: str) -> bool:
        """Return whether an upstream is silent for longer than a sound one may be."""
        state = self._states.get(id)
        return state is not None and state.is_overdue

    def is_gone(self, id: str) -> bool:
        """Return whether a silent upstream has refused a connection."""
        state = self._states.get(id)
        return state is not None and state.is_gone

    def was_silent_since(self, id: str, begun: timedelta) -> bool:
        """Return whether an upstream was known as silent at any time since `begun`."""
        state = self._states.get(id)
        if state is None:
            return False
        if state.since is not None:
            return True
        return state.was_silent_at is not None and state.was_silent_at >= begun

    def forget(self, id: str) -> None:
        """Drop an upstream that was removed or has restarted."""
        self._states.pop(id, None)

    def _get(self, id: str) -> _Silence:
        state = self._states.get(id)
        if state is None:
            state = self._states[id] = _Silence()
        return state


def _is_recent(last_activity_at: timedelta | None, now: timedelta) -> bool:
    return last_activity_at is not None and now - last_activity_at < ACTIVITY_TIME
