"""The interface of a client for health checks."""

from typing import Protocol

from rhubarbpaddle.measuring.instance_reading import InstanceReading


class HealthChecker(Protocol):
    """Sends health checks to one instance."""

    async def check(self) -> InstanceReading | None:
        """Returns the instance's reading, or None if it reports no load.

        Raises:
            OSError: The instance refuses connections.
            RhubarbpaddleError: It didn't respond, or the response is invalid.
        """
        ...

    async def aclose(self) -> None:
        """Closes the connection."""
        ...
