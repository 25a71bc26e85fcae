"""The OpenTelemetry instruments of a node.

Only `Metrics` imports this module, and not before the instruments are needed.
"""

from collections.abc import Callable, Iterable, Mapping

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)

from rhubarbpaddle.measuring import EventLoopLoad
from rhubarbpaddle.rollout.rollout_reading import RolloutReading
from rhubarbpaddle.telemetry.attributes import Attributes
from rhubarbpaddle.telemetry.node_readings import NodeReadings
from rhubarbpaddle.telemetry.prometheus_text import PrometheusText

_PREFIX = "rhubarbpaddle."
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


class Instruments:
    """Records measurements with OpenTelemetry and exports them."""

    def __init__(self) -> None:
        self._reader = InMemoryMetricReader()
        buckets = ExplicitBucketHistogramAggregation(_LATENCY_BUCKETS_SECONDS)
        provider = MeterProvider(
            metric_readers=[self._reader],
            views=[
                View(
                    instrument_name=f"{_PREFIX}request.duration",
                    aggregation=buckets,
                )
            ],
        )
        meter = self._meter = provider.get_meter("rhubarbpaddle")
        self._histograms = {
            "request.duration": meter.create_histogram(
                f"{_PREFIX}request.duration",
                unit="s",
                description="Time from a request's head to its answer's end",
            )
        }
        self._counters = {
            name: meter.create_counter(
                _PREFIX + name, unit=unit, description=description
            )
            for name, unit, description in (
                ("refusals", "", "Refusals by code"),
                (
                    "callers.left",
                    "",
                    "Requests whose caller left before the answer",
                ),
                (
                    "requests.pipelined",
                    "",
                    "Requests read before the answers to those before them",
                ),
                ("probes", "", "Probes of the upstream"),
                ("probe.time", "s", "The upstream's time that probes took"),
            )
        }
        self._gauges = {
            "upstream.reported_in_flight": meter.create_gauge(
                f"{_PREFIX}upstream.reported_in_flight",
                description="Requests in flight by the upstream's own report",
            )
        }

    def add(self, counter: str, value: float, attributes: Attributes) -> None:
        """Adds a value to a counter."""
        self._counters[counter].add(value, dict(attributes))

    def set(self, gauge: str, value: float, attributes: Attributes) -> None:
        """Sets a gauge."""
        self._gauges[gauge].set(value, dict(attributes))

    def record(
        self, histogram: str, value: float, attributes: Attributes
    ) -> None:
        """Records a value in a histogram."""
        self._histograms[histogram].record(value, dict(attributes))

    def observe_node(self, read: Callable[[], NodeReadings]) -> None:
        """Adds the gauges and the counter that `NodeReadings` provides."""
        meter = self._meter
        for name, unit, description in _GAUGES:
            meter.create_observable_gauge(
                _PREFIX + name, [_make_callback(name, read)], unit, description
            )
        meter.create_observable_counter(
            f"{_PREFIX}retries",
            [lambda _: _observe_retries(read())],
            description="Tries after work that may have been done",
        )

    def observe_store_era(self, read: Callable[[], int | None]) -> None:
        """Adds a gauge of the era; see `Metrics.observe_store_era`."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            era = read()
            if era is not None:
                yield Observation(era)

        self._meter.create_observable_gauge(
            f"{_PREFIX}store.era",
            [observe],
            description="Era of the store that the configuration includes",
        )

    def observe_event_loop(self, load: EventLoopLoad) -> None:
        """Adds metrics of the event loop, which are read at each scrape."""
        self._meter.create_observable_gauge(
            f"{_PREFIX}loop.idle_share",
            [lambda _: [Observation(load.idle_share)]],
            description="Part of the time in which no task was ready",
        )
        self._meter.create_observable_counter(
            f"{_PREFIX}loop.passes",
            [lambda _: [Observation(load.passes)]],
            description="Passes of the event loop",
        )

    def observe_rollouts(
        self, read: Callable[[], Iterable[RolloutReading]]
    ) -> None:
        """Adds gauges of the roll-outs, which are read at each scrape."""
        for name, description in (
            ("phase", "1 trial, 2 promotion, 3 stopped, 4 completed, 5 back"),
            ("responses", "Responses of the target version at all nodes"),
            ("failures", "Failures of the target version at all nodes"),
        ):
            self._meter.create_observable_gauge(
                f"{_PREFIX}rollout.{name}",
                [_make_rollout_callback(name, read)],
                description=description,
            )

    def observe_zone_choices(
        self, read: Callable[[], Mapping[tuple[str, str], int]]
    ) -> None:
        """Adds a counter of responses by service and reason for their zone."""
        self._meter.create_observable_counter(
            f"{_PREFIX}zone.choices",
            [
                lambda _: [
                    Observation(count, {"service": service, "reason": reason})
                    for (service, reason), count in read().items()
                ]
            ],
            description="Responses by the reason for the zone that served them",
        )

    def observe_usage(
        self, get_results: Callable[[], Mapping[str, int]]
    ) -> None:
        """Adds the counts of a `UsageGate`, which are read at each scrape."""
        self._meter.create_observable_counter(
            f"{_PREFIX}usage.results",
            [lambda _: _observe_counts(get_results(), "result")],
            description="Requests of organisations with a usage cap, by"
            " result, and the queries sent to other nodes",
        )

    def observe_key_refusals(self, refusals: Mapping[str, int]) -> None:
        """Adds a counter of requests that were refused for their key."""
        self._meter.create_observable_counter(
            f"{_PREFIX}keys.refused",
            [lambda _: _observe_counts(refusals, "reason")],
            description="Requests refused for the key of an organisation",
        )

    def observe_link_ends(self, counts: Mapping[str, int]) -> None:
        """Adds a counter of control links that ended."""
        self._meter.create_observable_counter(
            f"{_PREFIX}control.links_ended",
            [lambda _: _observe_counts(counts, "code")],
            description="Control links that ended, by the code of the failure",
        )

    def observe_shares(
        self,
        results: Mapping[str, int],
        count_above_share: Callable[[], int | None],
    ) -> None:
        """Adds metrics of the fair queueing between organisations."""
        self._meter.create_observable_counter(
            f"{_PREFIX}share.requests",
            [lambda _: _observe_counts(results, "result")],
            description="Requests that yielded to other organisations, or were"
            " refused for their sake",
        )

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            count = count_above_share()
            return [] if count is None else [Observation(count)]

        self._meter.create_observable_gauge(
            f"{_PREFIX}share.organisations",
            [observe],
            description="Organisations that yield to others at the instance",
        )

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


def _make_rollout_callback(
    name: str, read: Callable[[], Iterable[RolloutReading]]
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(
                int(getattr(reading, name)),
                {"service": reading.service, "target": reading.target_version},
            )
            for reading in read()
        ]

    return observe


def _observe_retries(readings: NodeReadings) -> list[Observation]:
    return [
        Observation(count, {"service": service})
        for service, count in readings.retries.items()
    ]


def _observe_counts(counts: Mapping[str, int], label: str) -> list[Observation]:
    return [
        Observation(count, {label: value}) for value, count in counts.items()
    ]
