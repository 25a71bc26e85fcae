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

    def is_gone(self, state: RemoteState) -> bool:
        """Returns whether the far side does not wait any more.

        Args:
            state: What the network knows of the far side.
        """
        ...

    def get_sign(self, state: RemoteState) -> bytes:
        """Returns what to send to the far side at this check, possibly none.

        Args:
            state: What the network knows of the far side.
        """
        ...
