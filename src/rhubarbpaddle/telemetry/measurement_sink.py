"""Where measurements are recorded."""

from typing import Protocol

from rhubarbpaddle.telemetry.attributes import Attributes


class MeasurementSink(Protocol):
    """Takes the measurements of counters, gauges and histograms.

    Instruments are named without the prefix `rhubarbpaddle.`.
    """

    def add(self, counter: str, value: float, attributes: Attributes) -> None:
        """Adds a value to a counter."""
        ...

    def set(self, gauge: str, value: float, attributes: Attributes) -> None:
        """Sets a gauge."""
        ...

    def record(
        self, histogram: str, value: float, attributes: Attributes
    ) -> None:
        """Records a value in a histogram."""
        ...
