"""Updates an entry's view of an upstream from the heartbeats of its agent."""

from datetime import timedelta

from mustardquay.messages import Heartbeat
from mustardquay.predictions import RateEstimator
from mustardquay.works import UpstreamView, Work

__all__ = ["subtract_refused", "update_view"]


def update_view(
    view: UpstreamView, heartbeat: Heartbeat, rates: RateEstimator, now: timedelta
) -> None:
    """Apply a heartbeat; its rates are smoothed by `rates`, which learns from them."""
    view.reachable = True
    view.draining = heartbeat.draining
    view.ready = heartbeat.ready
    view.role = heartbeat.role
    view.models = frozenset(heartbeat.models)
    view.adapters = frozenset(heartbeat.adapters)
    view.queued_tokens = heartbeat.queued_tokens
    view.queued_tokens_within = heartbeat.queued_tokens_within
    view.running = heartbeat.running
    view.own_tokens = 0
    view.reported_at = now
    view.concurrency = heartbeat.concurrency or view.concurrency
    rates.learn(view.name, view.role, heartbeat.prefill_rate, heartbeat.decode_rate)
    view.prefill_rate = rates.prefill_rate(view.name, view.prefill_rate)
    view.decode_rate = rates.decode_rate(view.name, view.decode_rate)
    view.slowness = rates.slowness(view.name)


def subtract_refused(view: UpstreamView | None, work: Work) -> None:
    """Stop counting the prompt of refused work as queued at its upstream."""
    if view is not None:
        view.own_tokens = max(view.own_tokens - work.prompt_tokens, 0)
