"""How an upstream is told of a request and says what became of it."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from rhubarbpaddle.execution import Headers, Request
from rhubarbpaddle.measuring.instance_reading import InstanceReading

RawHeaders = Iterable[tuple[bytes, bytes]]


class UpstreamDialect(Protocol):
    """The headers between a node and the upstream beside it."""

    def make_headers(self, request: Request, time_left: float) -> Headers:
        """Returns the headers to send.

        Args:
            request: The request.
            time_left: Seconds until its deadline.
        """
        ...

    def get_body_seconds(self, time_left: float) -> float:
        """Returns how long an answer's body may take after its head.

        Args:
            time_left: Seconds until the request's deadline.
        """
        ...

    def is_answer(self, request: Request, headers: RawHeaders) -> bool:
        """Returns whether an answer belongs to the request."""
        ...

    def read_refusal(
        self, status: int, headers: RawHeaders
    ) -> timedelta | None:
        """Returns when to come back if the request did not run, or None."""
        ...

    def read_load(self, headers: RawHeaders) -> InstanceReading | None:
        """Returns what the headers of an answer say of the instance's load."""
        ...
