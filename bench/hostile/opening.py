"""How a hostile remote end opens a connection to a node."""

from typing import Protocol

import trio


class Opening(Protocol):
    """Opens connections of one kind."""

    async def open(self, ip: str, number: int) -> trio.abc.Stream:
        """Connects to the node at an IP address.

        Args:
            ip: The address.
            number: The number of the remote end, from 0.
        """
