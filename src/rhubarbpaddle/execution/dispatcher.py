"""The interface through which a gateway sends requests to instances."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.routing.candidate import Candidate


class Dispatcher(Protocol):
    """Sends a request to the node beside the chosen instance."""

    def dispatch(
        self, request: Request, body: Body, candidate: Candidate
    ) -> AbstractAsyncContextManager[Response]:
        """Sends a request and returns its response.

        The body is read only after the instance has admitted the request.
        After a refusal with `may_resend`, another attempt is possible if the
        body can be sent again from its beginning.

        Args:
            request: The request.
            body: Its body.
            candidate: The instance to send it to.

        Returns:
            A context in which the response is valid. Leaving it early cancels
            the request.

        Raises:
            RefusedError: There is no response; `outcome` shows whether the
                request may have run.
        """
        ...
