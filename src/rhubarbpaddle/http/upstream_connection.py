"""HTTP/1.1 connection to an upstream."""

import h11
import trio

from rhubarbpaddle.exceptions import TruncatedError
from rhubarbpaddle.http.client_connection import ClientConnection

_PLACEHOLDER_HOST = [(b"host", b"-")]


class UpstreamConnection(ClientConnection):
    """Client connection that can be reused for several exchanges.

    Attributes:
        last_success: Monotonic time in seconds at which its last exchange
            completed, or None before the first.
        retired: Whether the connection must not carry another exchange.
    """

    def __init__(self, stream: trio.abc.Stream, peer: str) -> None:
        super().__init__(stream, peer)
        self.last_success: float | None = None
        self.retired = False

    def restart_parser(self, head: h11.Request) -> None:
        """Prepares to read another response after one to an earlier request.

        Args:
            head: The head of the current request, which is not sent again.

        Raises:
            TruncatedError: The upstream has closed the connection.
        """
        received, ended = self.h11.trailing_data
        if ended or self.h11.their_state is not h11.DONE:
            raise TruncatedError(
                "the connection ended after a response to another request",
                step="receive_response",
                peer=self.peer,
            )
        self.h11 = h11.Connection(h11.CLIENT)
        # The new state machine only needs the method to parse the response.
        self.h11.send(
            h11.Request(
                method=head.method, target="/", headers=_PLACEHOLDER_HOST
            )
        )
        self.h11.send(h11.EndOfMessage())
        self.unparsed = received + self.unparsed
        # Further responses to earlier requests may follow.
        self.retired = True

    def is_reusable(self) -> bool:
        """Returns whether another request can be sent."""
        return not self.retired and super().is_reusable()
