"""The interface through which a node sends requests to its upstream."""

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
        """Sends a request and returns its response.

        Args:
            request: The request.
            body: Its body; read once the connection is open.

        Returns:
            A context in which the response is valid.

        Raises:
            RefusedError: There is no response. The outcome is `unknown` if any
                byte of the request was written.
        """
        ...

    async def aclose(self) -> None:
        """Closes all idle connections."""
        ...
