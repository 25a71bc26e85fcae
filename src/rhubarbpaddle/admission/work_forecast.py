"""When the work of one instance will probably end."""

from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.admission.work_times import DEFAULT_SECONDS, WorkTimes

# The part of the time to its latency target that a request's work takes, where
# nothing is known yet; operators set targets of three times the work or more.
_WORK_SHARE = 1 / 3


class WorkForecast:
    """Estimates work from the route's requests and the instance's pace."""

    def __init__(self) -> None:
        self._times = WorkTimes()
        self._ends: dict[object, float] = {}

    def get_work(self, ticket: Ticket, now: float) -> float:
        """Returns the seconds that a request will probably take."""
        if self._times.knows(ticket.route):
            return self._times.get(ticket.route)
        left = max(0.0, ticket.useful_until - now)
        return min(DEFAULT_SECONDS, left * _WORK_SHARE)

    def begin(self, ticket: Ticket, now: float, pace: float) -> object:
        """Notes that a request starts; returns what names it for `end`."""
        key = object()
        self._ends[key] = now + pace * self.get_work(ticket, now)
        return key

    def end(self, key: object) -> None:
        """Notes that a request has ended."""
        del self._ends[key]

    def compare(self, route: str, seconds: float) -> float:
        """Returns how long work took, as a multiple of the usual."""
        return seconds / self._times.get(route)

    def note(self, route: str, seconds: float, is_usual: bool) -> None:
        """Takes over how long work took.

        Args:
            route: The route of the request.
            seconds: The time at the usual pace.
            is_usual: Whether nothing slowed it down; other times count only
                where none is known.
        """
        if is_usual or not self._times.knows(route):
            self._times.note(route, seconds)

    def estimate_wait(self, ahead: int, limit: int, now: float) -> float:
        """Returns the seconds until a request could start.

        Args:
            ahead: How many wait before it.
            limit: How many may run at once.
            now: Monotonic seconds.
        """
        running = len(self._ends)
        if running + ahead < limit or running == 0:
            return 0.0
        turns = ahead + 1 + running - limit
        rounds, place = divmod(max(1, turns) - 1, running)
        ends = sorted(self._ends.values())
        return max(0.0, ends[place] - now) + rounds * self._times.get_mean()
