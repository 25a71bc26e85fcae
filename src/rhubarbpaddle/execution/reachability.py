"""Checks whether an upstream accepts connections."""

from typing import Protocol


class Reachability(Protocol):
    """Distinguishes a broken connection from a crashed upstream."""

    async def is_open(self) -> bool:
        """Opens and closes a connection without sending a request.

        Returns:
            False only if the connection was refused.
        """
        ...
