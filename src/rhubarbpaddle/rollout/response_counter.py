"""Counts the responses of one version at one instance."""

from collections import Counter, defaultdict

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.response_observer import Observation
from rhubarbpaddle.measuring import EvidenceKind
from rhubarbpaddle.rollout.latency_buckets import get_bucket
from rhubarbpaddle.rollout.route_counts import RouteCounts

# A crash ends all requests that an instance runs. It counts as one failure, so
# that the crash of an ordinary instance is no evidence against its version.
_CRASH_SECONDS = 1.0


class ResponseCounter:
    """Counts responses, failures and latencies by route."""

    def __init__(self, clock: Clock) -> None:
        """Creates a counter without responses."""
        self._clock = clock
        self._responses: Counter[str] = Counter()
        self._failures: Counter[str] = Counter()
        self._latencies: defaultdict[str, Counter[int]] = defaultdict(Counter)
        self._lost_at = float("-inf")

    def start(self, route: str, slowdown: float | None) -> Observation:
        """Returns what is told of the end of a request.

        Args:
            route: The route of the request.
            slowdown: The temporary slowdown factor of the instance, or None if
                latencies are not comparable at present.
        """
        return _CountedRequest(self, route, slowdown)

    def add_response(
        self, route: str, failed: bool, latency: float | None
    ) -> None:
        """Counts a response.

        Args:
            route: The route of the request.
            failed: Whether the response is a failure.
            latency: Seconds at the usual speed of the instance, or None.
        """
        self._responses[route] += 1
        self._failures[route] += failed
        if latency is not None:
            self._latencies[route][get_bucket(latency)] += 1

    def add_loss(self, route: str) -> None:
        """Counts a lost connection."""
        now = self._clock.monotonic()
        if now - self._lost_at >= _CRASH_SECONDS:
            self.add_response(route, True, None)
        self._lost_at = now

    def get_counts(self) -> tuple[RouteCounts, ...]:
        """Returns the counts of all routes."""
        return tuple(
            RouteCounts(
                route,
                self._responses[route],
                self._failures[route],
                tuple(sorted(self._latencies[route].items())),
            )
            for route in sorted(self._responses)
        )


class _CountedRequest:
    """Passes the end of one request to the counter."""

    def __init__(
        self, counter: ResponseCounter, route: str, slowdown: float | None
    ) -> None:
        self._counter = counter
        self._route = route
        self._slowdown = slowdown

    def record_response(self, status: int, latency: float | None) -> None:
        """Counts a response that the instance has sent."""
        self._counter.add_response(
            self._route, status >= 500, self._adjust(latency)
        )

    def record_error(self, kind: EvidenceKind, latency: float | None) -> None:
        """Counts the end of a request without a response.

        A refusal that has not run is no response of the version.
        """
        if kind is EvidenceKind.TIMED_OUT:
            self._counter.add_response(
                self._route, False, self._adjust(latency)
            )
        elif kind is EvidenceKind.LOST:
            self._counter.add_loss(self._route)

    def _adjust(self, latency: float | None) -> float | None:
        if latency is None or self._slowdown is None:
            return None
        return latency / self._slowdown
