"""The metrics of a node, collected with OpenTelemetry."""

from collections.abc import Callable, Iterable

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)

from rhubarbpaddle.measuring import EventLoopLoad
from rhubarbpaddle.telemetry.node_readings import NodeReadings
from rhubarbpaddle.telemetry.prometheus_text import PrometheusText

_LATENCY_BUCKETS_SECONDS = (
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064,
    0.128, 0.256, 0.512, 1.0, 2.0, 4.0, 8.0, 16.0,
)  # fmt: skip

# Name, unit and description. The name is that of the field of `NodeReadings`
# that the gauge exports.
_GAUGES = (
    ("configuration_version", "", "Version of the text in force, or 0"),
    (
        "configuration_age",
        "s",
        "Time since the log confirmed the text",
    ),
    ("log_lag", "", "Records of the log that are not applied yet"),
    ("members", "", "Members known, this node included"),
    ("in_flight", "", "Requests that the upstream runs"),
    ("queued", "", "Requests that wait for the upstream"),
    ("limit", "", "Requests that the upstream may run at once"),
)
_UPSTREAM_GAUGES = frozenset({"in_flight", "queued", "limit"})


class Metrics:
    """The instruments of one node."""

    def __init__(self) -> None:
        self._reader = InMemoryMetricReader()
        buckets = ExplicitBucketHistogramAggregation(_LATENCY_BUCKETS_SECONDS)
        provider = MeterProvider(
            metric_readers=[self._reader],
            views=[
                View(
                    instrument_name="rhubarbpaddle.request.duration",
                    aggregation=buckets,
                )
            ],
        )
        meter = self._meter = provider.get_meter("rhubarbpaddle")
        self._duration = meter.create_histogram(
            "rhubarbpaddle.request.duration",
            unit="s",
            description="Time from a request's head to its answer's end",
        )
        self._refusals = meter.create_counter(
            "rhubarbpaddle.refusals", description="Refusals by code"
        )
        self._caller_disconnects = meter.create_counter(
            "rhubarbpaddle.callers.left",
            description="Requests whose caller left before the answer",
        )
        self._probes = meter.create_counter(
            "rhubarbpaddle.probes", description="Probes of the upstream"
        )
        self._probe_time = meter.create_counter(
            "rhubarbpaddle.probe.time",
            unit="s",
            description="The upstream's time that probes took",
        )
        self._reported_load = meter.create_gauge(
            "rhubarbpaddle.upstream.reported_in_flight",
            description="Requests in flight by the upstream's own report",
        )

    def observe_node(self, read: Callable[[], NodeReadings]) -> None:
        """Adds the gauges and the counter that `NodeReadings` provides.

        Args:
            read: Returns the current readings; called at each scrape.
        """
        meter = self._meter
        for name, unit, description in _GAUGES:
            meter.create_observable_gauge(
                f"rhubarbpaddle.{name}",
                [_make_callback(name, read)],
                unit,
                description,
            )
        meter.create_observable_counter(
            "rhubarbpaddle.retries",
            [lambda _: _observe_retries(read())],
            description="Tries after work that may have been done",
        )

    def observe_event_loop(self, load: EventLoopLoad) -> None:
        """Adds metrics of the event loop, which are read at each scrape."""
        self._meter.create_observable_gauge(
            "rhubarbpaddle.loop.idle_share",
            [lambda _: [Observation(load.idle_share)]],
            description="Part of the time in which no task was ready",
        )
        self._meter.create_observable_counter(
            "rhubarbpaddle.loop.passes",
            [lambda _: [Observation(load.passes)]],
            description="Passes of the event loop",
        )

    def record_request(
        self, tenant: str, service: str, status: int, seconds: float
    ) -> None:
        """Records a completed request.

        Args:
            tenant: A tenant of the configuration, or `other`; names invented
                by callers would make the number of time series unbounded.
            service: A service of the configuration.
            status: The HTTP status.
            seconds: Time from the request's head to the response's end.
        """
        attributes: dict[str, str | int] = {
            "tenant": tenant,
            "service": service,
            "status": status,
        }
        self._duration.record(seconds, attributes)

    def record_refusal(self, service: str, code: str, outcome: str) -> None:
        """Records a refused request.

        Args:
            service: The service that was requested.
            code: The code of the refusal.
            outcome: The value of an `Outcome`.
        """
        self._refusals.add(
            1, {"service": service, "code": code, "outcome": outcome}
        )

    def record_caller_disconnect(self, stage: str) -> None:
        """Records a request whose caller disconnected before the response.

        Args:
            stage: `read` if it had disconnected when the request was read,
                `running` if it disconnected later.
        """
        self._caller_disconnects.add(1, {"stage": stage})

    def record_probe(
        self, service: str, target: str, result: str, seconds: float
    ) -> None:
        """Records a probe and how long it occupied the upstream."""
        self._probes.add(
            1, {"service": service, "target": target, "result": result}
        )
        self._probe_time.add(seconds, {"service": service})

    def record_reported_load(self, service: str, in_flight: int) -> None:
        """Records the number of requests in flight that an upstream reports."""
        self._reported_load.set(in_flight, {"service": service})

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        text = PrometheusText()
        if data := self._reader.get_metrics_data():
            text.add_all(data)
        return text.encode()


def _make_callback(
    name: str, read: Callable[[], NodeReadings]
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        readings = read()
        value = getattr(readings, name)
        if value is None:
            return []
        labels = (
            {"service": readings.service} if name in _UPSTREAM_GAUGES else {}
        )
        return [Observation(value, labels)]

    return observe


def _observe_retries(readings: NodeReadings) -> list[Observation]:
    return [
        Observation(count, {"service": service})
        for service, count in readings.retries.items()
    ]
