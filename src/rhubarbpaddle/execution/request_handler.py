"""What serves a caller's request."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response


class RequestHandler(Protocol):
    """Runs requests; implemented by `Gateway` and `ClaimingGateway`."""

    def handle(
        self, request: Request, body: Body
    ) -> AbstractAsyncContextManager[Response]:
        """Runs a request and yields its answer.

        Raises:
            RefusedError: There is no answer; `outcome` tells what is known.
        """
        ...
