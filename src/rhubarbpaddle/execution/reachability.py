"""Whether an upstream accepts connections."""

from typing import Protocol


class Reachability(Protocol):
    """Tells a broken connection from a crashed upstream."""

    async def is_open(self) -> bool:
        """Opens a connection and closes it; sends no request.

        Returns:
            False only if the connection was refused.
        """
        ...
