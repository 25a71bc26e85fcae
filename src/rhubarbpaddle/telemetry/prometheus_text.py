"""Renders metrics in the Prometheus text format, version 0.0.4.

OpenTelemetry's own exporter imports an HTTP server, an e-mail parser and TLS,
which a node does not use and which took 2.7 MiB of memory. Names and labels
are the same as those of the exporter.
"""

import math
import re
from collections.abc import Iterator, Mapping
from itertools import accumulate

from opentelemetry.sdk.metrics.export import (
    Gauge,
    Histogram,
    HistogramDataPoint,
    Metric,
    MetricsData,
    Sum,
)
from opentelemetry.sdk.util.instrumentation import InstrumentationScope

_INVALID_NAME_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")
_UNITS = {"s": "seconds", "By": "bytes"}
_ESCAPES = str.maketrans({"\\": r"\\", "\n": r"\n", '"': r"\""})
_HELP_ESCAPES = str.maketrans({"\\": r"\\", "\n": r"\n"})


class PrometheusText:
    """Builds the response to one scrape."""

    def __init__(self) -> None:
        self._lines: list[str] = []

    def add_all(self, data: MetricsData) -> None:
        """Adds each resource as `target_info`, followed by its metrics.

        Raises:
            TypeError: A metric is an exponential histogram.
        """
        for resource in data.resource_metrics:
            self._add_header("target_info", "gauge", "Target metadata")
            self._add_sample("target_info", resource.resource.attributes, 1)
            for scope in resource.scope_metrics:
                labels = _list_scope_labels(scope.scope)
                for metric in scope.metrics:
                    self._add_metric(metric, labels)

    def encode(self) -> bytes:
        """Returns the text in UTF-8, with `?` for what can't be encoded."""
        text = "".join(f"{line}\n" for line in self._lines)
        return text.encode(errors="replace")

    def _add_metric(self, metric: Metric, scope: Mapping[str, str]) -> None:
        name = _make_name(metric)
        match metric.data:
            case Histogram(data_points=histograms):
                self._add_header(name, "histogram", metric.description)
                for histogram in histograms:
                    labels = {**(histogram.attributes or {}), **scope}
                    self._add_histogram(name, histogram, labels)
                return
            case Sum(data_points=points, is_monotonic=True):
                name, metric_type = f"{name}_total", "counter"
            case Sum(data_points=points) | Gauge(data_points=points):
                metric_type = "gauge"
            case _:
                raise TypeError(f"metric {metric.name} has no text format")
        self._add_header(name, metric_type, metric.description)
        for point in points:
            labels = {**(point.attributes or {}), **scope}
            self._add_sample(name, labels, point.value)

    def _add_histogram(
        self,
        name: str,
        point: HistogramDataPoint,
        labels: Mapping[str, object],
    ) -> None:
        bounds = [*point.explicit_bounds, math.inf]
        counts = accumulate(point.bucket_counts)
        for bound, count in zip(bounds, counts, strict=True):
            bucket = {**labels, "le": _format_number(bound)}
            self._add_sample(f"{name}_bucket", bucket, count)
        self._add_sample(f"{name}_count", labels, point.count)
        self._add_sample(f"{name}_sum", labels, point.sum)

    def _add_header(
        self, name: str, metric_type: str, description: str | None
    ) -> None:
        text = (description or "").translate(_HELP_ESCAPES)
        self._lines += [f"# HELP {name} {text}", f"# TYPE {name} {metric_type}"]

    def _add_sample(
        self, name: str, labels: Mapping[str, object], value: float
    ) -> None:
        pairs = ",".join(_format_labels(labels))
        self._lines.append(f"{name}{{{pairs}}} {_format_number(value)}")


def _make_name(metric: Metric) -> str:
    name = _INVALID_NAME_CHARACTERS.sub("_", metric.name)
    unit = _UNITS.get(metric.unit or "", metric.unit)
    if unit and not name.endswith(f"_{unit}"):
        return f"{name}_{unit}"
    return name


def _list_scope_labels(scope: InstrumentationScope) -> dict[str, str]:
    return {
        "otel_scope_name": scope.name,
        "otel_scope_version": scope.version or "",
        "otel_scope_schema_url": scope.schema_url or "",
    }


def _format_labels(labels: Mapping[str, object]) -> Iterator[str]:
    cleaned = {
        _INVALID_NAME_CHARACTERS.sub("_", key): str(value).translate(_ESCAPES)
        for key, value in labels.items()
    }
    for key in sorted(cleaned):
        yield f'{key}="{cleaned[key]}"'


def _format_number(value: float) -> str:
    if math.isinf(value):
        return "+Inf" if value > 0 else "-Inf"
    return "NaN" if math.isnan(value) else repr(float(value))
