"""A connection whose far side waits for work to be done."""

from typing import Protocol

import trio

from rhubarbpaddle.remote_state import RemoteState


class Watchable(Protocol):
    """A connection that `StreamWatch` can check.

    Attributes:
        stream: The byte stream of the connection.
    """

    stream: trio.abc.Stream

    def get_sign(self, state: RemoteState) -> bytes | None:
        """Returns what to send to the far side at this check.

        Args:
            state: What the network knows of the far side.

        Returns:
            Bytes to send, possibly none, or None if the far side is gone.
        """
        ...
