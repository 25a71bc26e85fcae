"""Quantiles of measured durations."""

from collections.abc import Sequence
from typing import NamedTuple, Self


class Quantiles(NamedTuple):
    """The 50th, 99th and 99.9th percentile in microseconds."""

    p50: float
    p99: float
    p999: float

    @classmethod
    def from_seconds(cls, seconds: Sequence[float]) -> Self:
        """Computes the quantiles of durations in seconds by nearest rank."""
        sorted_seconds = sorted(seconds)
        last = len(sorted_seconds) - 1
        values = [
            sorted_seconds[round(last * q)] * 1_000_000
            for q in (0.5, 0.99, 0.999)
        ]
        return cls(*values)

    def subtract(self, other: Self) -> Self:
        """Returns the difference of each quantile."""
        return type(self)(
            self.p50 - other.p50, self.p99 - other.p99, self.p999 - other.p999
        )
