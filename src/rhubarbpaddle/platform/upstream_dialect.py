"""The platform's HTTP conventions between a node and its instance."""

import re
from collections.abc import Callable
from datetime import timedelta

from rhubarbpaddle.execution import Headers, Request
from rhubarbpaddle.http.headers import get_header
from rhubarbpaddle.http.upstream_dialect import RawHeaders
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.platform import header_names

# A response may end this long after the timeout of its route.
_BODY_GRACE_SECONDS = 0.4
_RETRY_AFTER = timedelta(milliseconds=100)
_LOAD_PATTERN = re.compile(
    r"\s*(\d{1,9})\s*,\s*(\d{1,9})\s*,\s*(\d{1,9})\s*(?:,\s*(\d{1,9})\s*)?",
    re.ASCII,
)
_PERCENT_PER_UNIT = 100.0
_NUMBER = re.compile(r"[0-9]{1,9}")


class PlatformUpstreamDialect:
    """Adds request headers and interprets the instance's responses."""

    def __init__(self, get_instance: Callable[[], str | None]) -> None:
        """Creates the dialect of one host.

        Args:
            get_instance: Returns the id of this node's instance, or None.
        """
        self._get_instance = get_instance

    def make_headers(
        self, request: Request, remaining_seconds: float
    ) -> Headers:
        """Returns the request's headers and those that the node sets."""
        headers = [
            *request.headers,
            (
                header_names.DEADLINE,
                b"%d" % max(1, int(remaining_seconds * 1000)),
            ),
            (header_names.CALLING_SERVICE, request.calling_service.encode()),
        ]
        if request.organisation:
            headers.append(
                (header_names.ORGANISATION, request.organisation.encode())
            )
        instance = self._get_instance()
        if instance is not None:
            headers.append((header_names.EXPECTED_INSTANCE, instance.encode()))
        return headers

    def get_body_seconds(self, remaining_seconds: float) -> float:
        """Returns the time until the deadline plus a grace period."""
        return remaining_seconds + _BODY_GRACE_SECONDS

    def is_response_to(
        self, request: Request, headers: RawHeaders, *, on_new_connection: bool
    ) -> bool:
        """Returns whether a response has the request's id.

        Without an id, a response on a reused connection may be a copy of an
        earlier one, for example of a refusal.
        """
        request_id = get_header(list(headers), header_names.REQUEST_ID)
        if request_id is None:
            return on_new_connection
        return request_id == request.request_id

    def parse_refusal(
        self, status: int, headers: RawHeaders
    ) -> timedelta | None:
        """Returns the retry delay if the request did not run, or None."""
        not_run = get_header(list(headers), header_names.NOT_RUN) is not None
        if status == 421 or (not_run and status in (400, 429, 503)):
            return _RETRY_AFTER
        return None

    def parse_load(self, headers: RawHeaders) -> InstanceReading | None:
        """Returns the load that a response reports, or None."""
        received = list(headers)
        match = _LOAD_PATTERN.fullmatch(
            get_header(received, header_names.LOAD) or ""
        )
        if match is None:
            return None
        running, queued, slots, slowdown_percent = match.groups()
        return InstanceReading(
            instance=get_header(received, header_names.INSTANCE),
            running=int(running),
            queued=int(queued),
            slots=int(slots),
            slowdown=(
                int(slowdown_percent) / _PERCENT_PER_UNIT
                if slowdown_percent
                else 1.0
            ),
            cold_seconds=_parse_cold_time(received),
            has_slowdown=slowdown_percent is not None,
        )

    def parse_health(self, headers: RawHeaders) -> InstanceReading | None:
        """Returns the reading of a health check, or None without an id.

        The id is not required if the load is reported.
        """
        received = list(headers)
        reading = self.parse_load(received)
        instance = get_header(received, header_names.INSTANCE)
        if reading is not None or instance is None:
            return reading
        return InstanceReading(
            instance=instance,
            running=0,
            queued=0,
            slots=0,
            slowdown=1.0,
            cold_seconds=_parse_cold_time(received),
            has_slowdown=False,
        )


def _parse_cold_time(headers: Headers) -> float | None:
    """Returns the remaining cold start time in seconds, or None if absent."""
    cold_ms = get_header(headers, header_names.COLD)
    if cold_ms is None or not _NUMBER.fullmatch(cold_ms):
        return None
    return int(cold_ms) / 1000
