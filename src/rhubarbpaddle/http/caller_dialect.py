"""Interface of the header conventions between callers and the node."""

from typing import Protocol

import h11

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Headers, Request


class CallerDialect(Protocol):
    """Converts request heads to requests, and refusals to responses."""

    def get_request_id(self, head: h11.Request) -> str:
        """Returns the id that identifies a request in logs and responses."""
        ...

    def make_request(
        self, head: h11.Request, address: str, request_id: str
    ) -> Request:
        """Creates the request that a head represents.

        Args:
            head: The parsed head.
            address: The caller's IP address.
            request_id: The id that `get_request_id` returned for the head.

        Raises:
            RefusedError: The request can't be served, or a header is invalid.
        """
        ...

    def make_refusal(
        self, exc: RefusedError, request_id: str
    ) -> tuple[int, Headers, bytes]:
        """Creates the status, headers and body that report a refusal.

        Args:
            exc: The refusal.
            request_id: The request's id, or `-` if it has none.
        """
        ...

    def get_metrics_label(self, request: Request) -> str:
        """Returns the metrics label under which a request is counted."""
        ...

    def get_response_headers(self) -> Headers:
        """Returns headers to add to each response of an upstream."""
        ...
