"""Counts and logs in which zones requests are served."""

from collections import Counter, defaultdict

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.routing.spillover_reason import SpilloverReason

# Minimum interval between the log lines of a service.
_LOG_INTERVAL_SECONDS = 1.0


class ZoneChoiceRecord:
    """Counts the responses of each service by the reason for their zone."""

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._totals: Counter[tuple[str, SpilloverReason]] = Counter()
        self._clock = clock
        self._log = log
        self._logged_at: defaultdict[str, float] = defaultdict(
            lambda: float("-inf")
        )
        self._logged_totals: Counter[tuple[str, SpilloverReason]] = Counter()

    def add(self, service: str, reason: SpilloverReason) -> None:
        """Counts a response; logs the counts while requests leave the zone.

        Args:
            service: The service of the request.
            reason: Why the request went to the zone that served it.
        """
        self._totals[service, reason] += 1
        if not reason.yields:
            return
        now = self._clock.monotonic()
        if now - self._logged_at[service] >= _LOG_INTERVAL_SECONDS:
            self._logged_at[service] = now
            self._log.info(
                "zone_spillover", service=service, **self._diff(service)
            )

    def get_totals(self) -> dict[tuple[str, str], int]:
        """Returns the number of responses by service and reason."""
        return {
            (service, reason.value): count
            for (service, reason), count in self._totals.items()
        }

    def _diff(self, service: str) -> dict[str, int]:
        """Returns the counts by reason since the service's last log line."""
        counts = {}
        for reason in SpilloverReason:
            key = service, reason
            count = self._totals[key] - self._logged_totals[key]
            if count:
                counts[reason.value] = count
                self._logged_totals[key] = self._totals[key]
        return counts
