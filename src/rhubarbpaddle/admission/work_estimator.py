"""Estimates of the work of one instance."""

from rhubarbpaddle.admission.mean_work_times import (
    DEFAULT_WORK_SECONDS,
    MeanWorkTimes,
)
from rhubarbpaddle.admission.ticket import Ticket

# Assumed work of a request as a fraction of the time to its latency target,
# before its route has been measured; operators set targets of three times the
# work or more.
_WORK_FRACTION = 1 / 3


class WorkEstimator:
    """Estimates how long requests run and how long others wait for them.

    The estimates are based on the mean duration per route and on the slowdown
    factor of the instance when a request starts.
    """

    def __init__(self) -> None:
        self._times = MeanWorkTimes()
        self._expected_ends: dict[object, float] = {}

    def get_work(self, ticket: Ticket, now: float) -> float:
        """Returns the expected duration of a request's work in seconds."""
        if self._times.is_known(ticket.route):
            return self._times.get(ticket.route)
        remaining = max(0.0, ticket.useful_until - now)
        return min(DEFAULT_WORK_SECONDS, remaining * _WORK_FRACTION)

    def begin(self, ticket: Ticket, now: float, slowdown: float) -> object:
        """Records the start of a request; returns its key for `end`."""
        key = object()
        self._expected_ends[key] = now + slowdown * self.get_work(ticket, now)
        return key

    def end(self, key: object) -> None:
        """Records the end of a request."""
        del self._expected_ends[key]

    def compute_ratio(self, route: str, seconds: float) -> float:
        """Returns a duration as a multiple of its route's mean."""
        return seconds / self._times.get(route)

    def record(self, route: str, seconds: float, is_undisturbed: bool) -> None:
        """Records the duration of a request's work.

        Args:
            route: The route of the request.
            seconds: The duration, divided by the slowdown factor.
            is_undisturbed: Whether no other request slowed it down; otherwise
                the duration counts only if it is the first of its route.
        """
        if is_undisturbed or not self._times.is_known(route):
            self._times.record(route, seconds)

    def estimate_wait(self, ahead: int, limit: int, now: float) -> float:
        """Returns the expected seconds until a request can start.

        Args:
            ahead: Requests that are queued before it.
            limit: Requests that may run concurrently.
            now: Monotonic seconds.
        """
        running = len(self._expected_ends)
        if running + ahead < limit or running == 0:
            return 0.0
        needed_ends = ahead + 1 + running - limit
        rounds, index = divmod(max(1, needed_ends) - 1, running)
        ends = sorted(self._expected_ends.values())
        return max(0.0, ends[index] - now) + rounds * self._times.get_mean()
