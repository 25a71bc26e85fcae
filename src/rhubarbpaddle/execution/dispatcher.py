"""The way from the node that a caller chose to the chosen instance."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.routing import Candidate


class Dispatcher(Protocol):
    """Sends a request to the node beside the chosen instance."""

    def dispatch(
        self, request: Request, body: Body, candidate: Candidate
    ) -> AbstractAsyncContextManager[Response]:
        """Sends a request and returns its answer.

        The body is read only after the instance has admitted the request, so
        that a refusal with `may_retry` leaves it whole for the next try.

        Args:
            request: The request.
            body: Its body.
            candidate: The instance to send it to.

        Returns:
            A context in which the answer is valid. Leaving it early cancels
            the request.

        Raises:
            RefusedError: There is no answer; `outcome` tells what is known.
        """
        ...
