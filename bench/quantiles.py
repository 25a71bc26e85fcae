"""Quantiles of measured times."""

from collections.abc import Sequence
from typing import NamedTuple, Self


class Quantiles(NamedTuple):
    """Three quantiles in microseconds."""

    p50: float
    p99: float
    p999: float

    @classmethod
    def of(cls, seconds: Sequence[float]) -> Self:
        """Computes the quantiles by nearest rank."""
        ranked = sorted(seconds)
        last = len(ranked) - 1
        values = [
            ranked[round(last * q)] * 1_000_000 for q in (0.5, 0.99, 0.999)
        ]
        return cls(*values)

    def subtract(self, other: Self) -> Self:
        """Returns the difference at each quantile."""
        return type(self)(
            self.p50 - other.p50, self.p99 - other.p99, self.p999 - other.p999
        )
