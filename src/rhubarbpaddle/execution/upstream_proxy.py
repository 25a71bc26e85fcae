"""The interface of a proxy for the upstream beside a node."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.measuring import LoadReport


class UpstreamProxy(Protocol):
    """Admits requests to one upstream and runs them there."""

    def get_report(self) -> LoadReport | None:
        """Returns the upstream's load, or None without an upstream."""
        ...

    def handle(
        self, request: Request, body: Body, instance: str, incarnation: int
    ) -> AbstractAsyncContextManager[Response]:
        """Runs a request once the upstream has capacity for it.

        Args:
            request: The request.
            body: Its body; read only after the request was admitted.
            instance: The instance that the gateway chose.
            incarnation: The incarnation of the instance at that time.

        Raises:
            RefusedError: There is no response; `outcome` shows whether the
                request may have run.
        """
        ...
