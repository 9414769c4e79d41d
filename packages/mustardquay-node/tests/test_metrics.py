from datetime import timedelta

import pytest
from hypothesis import given, settings, strategies
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client.parser import text_string_to_metric_families
from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port

from mustardquay import Outcome, Reason
from mustardquay_node.gateway_metrics import GAUGES, GatewayMetrics
from mustardquay_node.gateway_servers import GatewayServers
from mustardquay_node.histograms import Histogram
from mustardquay_node.metrics import NodeMetrics


def read_samples(metrics: NodeMetrics) -> dict[tuple, float]:
    page = metrics.render().decode()
    return {
        (sample.name, frozenset(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(page)
        for sample in family.samples
    }


def find(samples: dict[tuple, float], name: str, **labels: str) -> float:
    (value,) = (
        value
        for (found, found_labels), value in samples.items()
        if found == name and labels.items() <= dict(found_labels).items()
    )
    return value


@pytest.fixture
def metrics():
    metrics = NodeMetrics("entry-1", "entry", "linz")
    metrics.start()
    yield metrics
    metrics.close()


def test_a_streamed_request_is_counted_by_the_conventions(metrics):
    second = timedelta(seconds=1)
    metrics.record_first_token("chat", "reader", second / 10)
    metrics.record_tokens("chat", "reader", 1000, 11, second)
    metrics.record_request("chat", "reader", Outcome.ANSWERED, second)
    samples = read_samples(metrics)
    assert find(samples, "gen_ai_server_request_duration_seconds_sum") == 1
    assert find(samples, "gen_ai_server_time_to_first_token_seconds_sum") == 0.1
    assert find(samples, "gen_ai_server_time_per_output_token_seconds_sum") == 0.1
    usage = "gen_ai_client_token_usage_sum"
    assert find(samples, usage, gen_ai_token_type="input") == 1000
    assert find(samples, usage, gen_ai_token_type="output") == 11
    total = "mustardquay_requests_total"
    assert find(samples, total, mustardquay_outcome="answered") == 1


def test_refusals_retries_and_gauges_are_exported(metrics):
    metrics.count_refusal(Reason.OVERLOAD)
    metrics.count_retry("crash")
    metrics.watch("mustardquay.running", lambda: 3)
    metrics.watch("mustardquay.running", lambda: 4)
    samples = read_samples(metrics)
    refusals = "mustardquay_refusals_total"
    assert find(samples, refusals, mustardquay_reason="overload") == 1
    assert find(samples, refusals, mustardquay_reason="deadline") == 0
    assert find(samples, "mustardquay_retries_total", mustardquay_cause="crash") == 1
    assert find(samples, "mustardquay_running") == 4
    with pytest.raises(ValueError, match="add it to GAUGES"):
        metrics.watch("mustardquay.other", lambda: 1)


async def test_a_gateway_serves_what_it_counted_before_the_first_page():
    # The export libraries are loaded when a page is first requested; the page must
    # include what was counted before.
    metrics = GatewayMetrics("g1", "linz")
    metrics.start(dict.fromkeys(GAUGES, lambda: 2.0))
    metrics.count_answer("front", "answered")
    metrics.record_first_byte("front", timedelta(seconds=1))
    free, port = bind_unused_port()
    free.close()
    servers = GatewayServers()
    servers.serve_metrics(f"127.0.0.1:{port}", metrics.render)
    url = f"http://127.0.0.1:{port}/metrics"
    pages = [await AsyncHTTPClient().fetch(url) for _ in range(2)]
    await servers.close()
    metrics.close()
    for page in pages:
        assert page.headers["Content-Type"] == CONTENT_TYPE_LATEST
        families = text_string_to_metric_families(page.body.decode())
        values = {each.name: each.value for f in families for each in f.samples}
        assert values["mustardquay_requests_total"] == 1
        assert values["mustardquay_first_byte_seconds_count"] == 1
        assert values["mustardquay_ready"] == 2


@settings(derandomize=True, deadline=None, database=None, max_examples=100)
@given(strategies.lists(strategies.floats(0, 100), max_size=30))
def test_each_value_is_in_the_bucket_of_its_upper_bound(values):
    bounds = (0.5, 1.0, 50.0)
    histogram = Histogram("h", "s", "", ("kind",), bounds)
    for value in values:
        histogram.record(value, "a")
    points = histogram.collect().data.data_points
    assert len(points) == min(len(values), 1)
    for point in points:
        edges = (-1.0, *bounds, 1000.0)
        expected = [
            sum(low < value <= high for value in values)
            for low, high in zip(edges, edges[1:], strict=False)
        ]
        assert list(point.bucket_counts) == expected
        assert point.sum == pytest.approx(sum(values))
        assert (point.min, point.max) == (min(values), max(values))
