"""Interface of the header conventions between the node and an upstream."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from rhubarbpaddle.execution import Headers, Request
from rhubarbpaddle.measuring.instance_reading import InstanceReading

RawHeaders = Iterable[tuple[bytes, bytes]]


class UpstreamDialect(Protocol):
    """Writes request headers for an upstream and reads response headers."""

    def make_headers(
        self, request: Request, remaining_seconds: float
    ) -> Headers:
        """Returns the headers to send with a request.

        Args:
            request: The request.
            remaining_seconds: Seconds until the request's deadline.
        """
        ...

    def get_body_seconds(self, remaining_seconds: float) -> float:
        """Returns the time limit for a response's body, in seconds.

        It counts from the response's head.

        Args:
            remaining_seconds: Seconds until the request's deadline.
        """
        ...

    def is_response_to(
        self, request: Request, headers: RawHeaders, *, on_new_connection: bool
    ) -> bool:
        """Returns whether a response belongs to the request.

        Args:
            request: The request.
            headers: The response's headers.
            on_new_connection: Whether the connection has carried no other
                response, so that this one can't be to an earlier request.
        """
        ...

    def parse_refusal(
        self, status: int, headers: RawHeaders
    ) -> timedelta | None:
        """Returns the retry delay if the upstream did not run the request.

        Returns None for all other responses.
        """
        ...

    def parse_load(self, headers: RawHeaders) -> InstanceReading | None:
        """Returns the load in a response's headers, or None if absent."""
        ...

    def parse_health(self, headers: RawHeaders) -> InstanceReading | None:
        """Returns what the headers of a health check's response report.

        A load that is absent reads as that of an idle instance without slots.
        Returns None if the headers don't name the instance.
        """
        ...
