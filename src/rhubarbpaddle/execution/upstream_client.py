"""The way from the sidecar into its upstream."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response


class UpstreamClient(Protocol):
    """Sends requests to the one upstream beside this node."""

    def send(
        self, request: Request, body: Body
    ) -> AbstractAsyncContextManager[Response]:
        """Sends a request and returns its answer.

        Args:
            request: The request.
            body: Its body, read once the connection is open.

        Returns:
            A context in which the answer is valid.

        Raises:
            RefusedError: There is no answer. The outcome is `unknown` once a
                byte of the request was written.
        """
        ...

    async def aclose(self) -> None:
        """Closes all idle connections."""
        ...
