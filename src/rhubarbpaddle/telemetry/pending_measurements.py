"""Keeps measurements until OpenTelemetry is loaded."""

from array import array
from collections import defaultdict

from rhubarbpaddle.telemetry.attributes import Attributes
from rhubarbpaddle.telemetry.measurement_sink import MeasurementSink


class PendingMeasurements:
    """Holds the sums of counters, and each value of the histograms.

    Attributes:
        value_count: The values of histograms that are held, 8 bytes each. All
            else is bounded by the number of different attributes.
    """

    def __init__(self) -> None:
        self.value_count = 0
        self._sums: dict[tuple[str, Attributes], float] = defaultdict(float)
        self._gauges: dict[tuple[str, Attributes], float] = {}
        self._values: dict[tuple[str, Attributes], array[float]] = defaultdict(
            lambda: array("d")
        )

    def add(self, counter: str, value: float, attributes: Attributes) -> None:
        """Adds a value to a counter."""
        self._sums[counter, attributes] += value

    def set(self, gauge: str, value: float, attributes: Attributes) -> None:
        """Sets a gauge."""
        self._gauges[gauge, attributes] = value

    def record(
        self, histogram: str, value: float, attributes: Attributes
    ) -> None:
        """Records a value in a histogram."""
        self._values[histogram, attributes].append(value)
        self.value_count += 1

    def copy_to(self, sink: MeasurementSink) -> None:
        """Records everything that is held in another sink."""
        for (name, attributes), total in self._sums.items():
            sink.add(name, total, attributes)
        for (name, attributes), value in self._gauges.items():
            sink.set(name, value, attributes)
        for (name, attributes), values in self._values.items():
            for value in values:
                sink.record(name, value, attributes)
