"""A connection to the upstream and what is known of its past."""

import h11
import trio

from rhubarbpaddle.exceptions import TruncatedError
from rhubarbpaddle.http.client_connection import ClientConnection

_HOST = [(b"host", b"-")]


class UpstreamConnection(ClientConnection):
    """A connection that may carry several exchanges.

    Attributes:
        last_success: Monotonic seconds when its last exchange was complete,
            or None before the first.
    """

    def __init__(self, stream: trio.abc.Stream, peer: str) -> None:
        super().__init__(stream, peer)
        self.last_success: float | None = None
        self._restarted = False

    def restart_parser(self, head: h11.Request) -> None:
        """Prepares to read another answer to the same request.

        Args:
            head: The request, which is not sent again.

        Raises:
            TruncatedError: The upstream has closed the connection.
        """
        received, ended = self.h11.trailing_data
        if ended or self.h11.their_state is not h11.DONE:
            raise TruncatedError(
                "the connection ended after an answer to another request",
                step="receive_response",
                peer=self.peer,
            )
        self.h11 = h11.Connection(h11.CLIENT)
        # The new state machine only has to know the method.
        self.h11.send(
            h11.Request(method=head.method, target="/", headers=_HOST)
        )
        self.h11.send(h11.EndOfMessage())
        if received:
            self.h11.receive_data(received)
        self._restarted = True

    def is_reusable(self) -> bool:
        """Returns whether nothing can be left of earlier exchanges."""
        return not self._restarted and super().is_reusable()
