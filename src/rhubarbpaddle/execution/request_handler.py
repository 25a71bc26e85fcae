"""The interface that runs a caller's request."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response


class RequestHandler(Protocol):
    """Runs requests on behalf of callers."""

    def handle(
        self, request: Request, body: Body
    ) -> AbstractAsyncContextManager[Response]:
        """Runs a request and yields its response.

        Raises:
            RefusedError: There is no response; `outcome` shows whether the
                request may have run.
        """
        ...
