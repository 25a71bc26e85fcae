"""Where the health of an instance comes from."""

from typing import Protocol

from rhubarbpaddle.measuring.instance_reading import InstanceReading


class HealthSource(Protocol):
    """Asks one instance for its health."""

    async def check(self) -> InstanceReading | None:
        """Returns what the instance says, or None if it names no load.

        Raises:
            OSError: The instance refuses connections.
            RhubarbpaddleError: It did not answer, or not in its protocol.
        """
        ...

    async def aclose(self) -> None:
        """Closes the connection."""
        ...
