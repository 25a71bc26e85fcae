"""A connection to the upstream and what is known of its past."""

import trio

from rhubarbpaddle.http.client_connection import ClientConnection


class UpstreamConnection(ClientConnection):
    """A connection that may carry several exchanges.

    Attributes:
        last_success: Monotonic seconds when its last exchange was complete,
            or None before the first.
    """

    def __init__(self, stream: trio.abc.Stream, peer: str) -> None:
        super().__init__(stream, peer)
        self.last_success: float | None = None
