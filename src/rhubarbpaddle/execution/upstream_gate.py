"""The way to the upstream beside a node."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.measuring import LoadReport


class UpstreamGate(Protocol):
    """Admits requests to one upstream and runs them there."""

    def get_report(self) -> LoadReport | None:
        """Returns the upstream's load, or None if there is no upstream."""
        ...

    def handle(
        self, request: Request, body: Body, instance: str, incarnation: int
    ) -> AbstractAsyncContextManager[Response]:
        """Runs a request once the upstream can bear it.

        Args:
            request: The request.
            body: Its body; read only after the request was admitted.
            instance: The instance that the gateway chose.
            incarnation: The upstream's incarnation that the choice rests on.

        Raises:
            RefusedError: There is no answer; `outcome` tells what is known.
        """
        ...
