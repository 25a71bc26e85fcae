"""How callers name what they want and are told of refusals."""

from typing import Protocol

import h11

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Headers, Request


class CallerDialect(Protocol):
    """Translates between callers' heads and requests."""

    def get_request_id(self, head: h11.Request) -> str:
        """Returns the name of a request in logs and answers."""
        ...

    def make_request(
        self, head: h11.Request, address: str, request_id: str
    ) -> Request:
        """Returns the request that a head stands for.

        Args:
            head: The parsed head.
            address: The caller's IP number.
            request_id: What `get_request_id` returned for the head.

        Raises:
            RefusedError: The request can't be served, or a header is invalid.
        """
        ...

    def make_refusal(
        self, exc: RefusedError, request_id: str
    ) -> tuple[int, Headers, bytes]:
        """Returns status, headers and body that tell a caller of a refusal.

        Args:
            exc: The refusal.
            request_id: The request's id, or `-`.
        """
        ...

    def get_label(self, request: Request) -> str:
        """Returns the group in which the metrics count a request."""
        ...

    def get_answer_headers(self) -> Headers:
        """Returns headers to add to each answer of an upstream."""
        ...
