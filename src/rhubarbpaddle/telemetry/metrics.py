"""The metrics of a node."""

import importlib
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

import trio

from rhubarbpaddle.measuring import EventLoopLoad
from rhubarbpaddle.rollout.rollout_reading import RolloutReading
from rhubarbpaddle.telemetry.measurement_sink import MeasurementSink
from rhubarbpaddle.telemetry.node_readings import NodeReadings
from rhubarbpaddle.telemetry.pending_measurements import PendingMeasurements

if TYPE_CHECKING:
    from rhubarbpaddle.telemetry.instruments import Instruments

# Durations that may be held before OpenTelemetry is loaded without a scrape.
_MAX_PENDING_VALUES = 10_000
# Loaded one by one, so that other tasks run between them: all together take
# some 70 ms of processor time. Each one's imports precede it.
_OPENTELEMETRY_MODULES = (
    "opentelemetry.metrics",
    "opentelemetry.trace",
    "opentelemetry.sdk.resources",
    "opentelemetry.sdk.metrics",
)


class Metrics:
    """Records measurements; OpenTelemetry is loaded when it is first needed.

    Importing OpenTelemetry takes a sixth of a node's start. Measurements are
    held until the first scrape, or until there are too many to hold.
    """

    def __init__(self) -> None:
        self._pending = PendingMeasurements()
        self._sink: MeasurementSink = self._pending
        self._instruments: Instruments | None = None
        self._observers: list[Callable[[Instruments], None]] = []
        self._is_full = trio.Event()

    async def run(self) -> None:
        """Loads OpenTelemetry once the pending measurements are too many."""
        await self._is_full.wait()
        await self._load()

    def observe_node(self, read: Callable[[], NodeReadings]) -> None:
        """Adds the gauges and the counter that `NodeReadings` provides.

        Args:
            read: Returns the current readings; called at each scrape.
        """
        self._observers.append(
            lambda instruments: instruments.observe_node(read)
        )

    def observe_event_loop(self, load: EventLoopLoad) -> None:
        """Adds metrics of the event loop, which are read at each scrape."""
        self._observers.append(
            lambda instruments: instruments.observe_event_loop(load)
        )

    def observe_rollouts(
        self, read: Callable[[], Iterable[RolloutReading]]
    ) -> None:
        """Adds metrics of roll-outs.

        Args:
            read: Returns the current readings; called at each scrape.
        """
        self._observers.append(
            lambda instruments: instruments.observe_rollouts(read)
        )

    def observe_zone_choices(
        self, read: Callable[[], Mapping[tuple[str, str], int]]
    ) -> None:
        """Adds a counter of responses by service and reason for their zone.

        Args:
            read: Returns the totals; called at each scrape.
        """
        self._observers.append(
            lambda instruments: instruments.observe_zone_choices(read)
        )

    def observe_usage(
        self, get_results: Callable[[], Mapping[str, int]]
    ) -> None:
        """Adds the counts of a `UsageGate`, which are read at each scrape."""
        self._observers.append(
            lambda instruments: instruments.observe_usage(get_results)
        )

    def observe_key_refusals(self, refusals: Mapping[str, int]) -> None:
        """Adds a counter of requests that were refused for their key.

        Args:
            refusals: The counts by reason, which are read at each scrape.
        """
        self._observers.append(
            lambda instruments: instruments.observe_key_refusals(refusals)
        )

    def observe_link_ends(self, counts: Mapping[str, int]) -> None:
        """Adds a counter of control links that ended.

        Args:
            counts: The counts by the code of the failure, which are read at
                each scrape.
        """
        self._observers.append(
            lambda instruments: instruments.observe_link_ends(counts)
        )

    def observe_store_era(self, read: Callable[[], int | None]) -> None:
        """Adds a metric of the era of the configuration in force.

        Args:
            read: Returns the era, or None if it is not known; called at each
                scrape.
        """
        self._observers.append(
            lambda instruments: instruments.observe_store_era(read)
        )

    def observe_shares(
        self,
        results: Mapping[str, int],
        count_above_share: Callable[[], int | None],
    ) -> None:
        """Adds metrics of the fair queueing between organisations.

        Args:
            results: The counts of requests by result, which are read at each
                scrape.
            count_above_share: Returns how many organisations yield, or None if
                there are none; called at each scrape.
        """
        self._observers.append(
            lambda instruments: instruments.observe_shares(
                results, count_above_share
            )
        )

    def record_request(
        self, organisation: str, service: str, status: int, seconds: float
    ) -> None:
        """Records a completed request.

        Args:
            organisation: An organisation of the configuration, or `other`;
                names invented by callers would make the number of time series
                unbounded.
            service: A service of the configuration.
            status: The HTTP status.
            seconds: Time from the request's head to the response's end.
        """
        self._sink.record(
            "request.duration",
            seconds,
            (
                ("tenant", organisation),
                ("service", service),
                ("status", status),
            ),
        )
        if self._pending.value_count >= _MAX_PENDING_VALUES:
            self._is_full.set()

    def record_refusal(self, service: str, code: str, outcome: str) -> None:
        """Records a refused request.

        Args:
            service: The service that was requested.
            code: The code of the refusal.
            outcome: The value of an `Outcome`.
        """
        self._sink.add(
            "refusals",
            1,
            (("service", service), ("code", code), ("outcome", outcome)),
        )

    def record_caller_disconnect(self, stage: str) -> None:
        """Records a request whose caller disconnected before the response.

        Args:
            stage: `read` if it had disconnected when the request was read,
                `running` if it disconnected later.
        """
        self._sink.add("callers.left", 1, (("stage", stage),))

    def record_pipelined(self, result: str, count: int = 1) -> None:
        """Records requests that were read before their turn.

        Args:
            result: `answered`, or `discarded` if the connection ended before.
            count: The number of requests.
        """
        self._sink.add("requests.pipelined", count, (("result", result),))

    def record_probe(
        self, service: str, target: str, result: str, seconds: float
    ) -> None:
        """Records a probe and how long it occupied the upstream."""
        self._sink.add(
            "probes",
            1,
            (("service", service), ("target", target), ("result", result)),
        )
        self._sink.add("probe.time", seconds, (("service", service),))

    def record_reported_load(self, service: str, in_flight: int) -> None:
        """Records the number of requests in flight that an upstream reports."""
        self._sink.set(
            "upstream.reported_in_flight", in_flight, (("service", service),)
        )

    async def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        instruments = await self._load()
        return instruments.render()

    async def _load(self) -> "Instruments":
        for name in _OPENTELEMETRY_MODULES:
            if self._instruments is not None:
                break
            importlib.import_module(name)
            await trio.lowlevel.checkpoint()
        if self._instruments is None:
            from rhubarbpaddle.telemetry.instruments import Instruments

            self._instruments = Instruments()
            for observe in self._observers:
                observe(self._instruments)
            self._pending.copy_to(self._instruments)
            self._sink = self._instruments
            self._pending = PendingMeasurements()
        return self._instruments
