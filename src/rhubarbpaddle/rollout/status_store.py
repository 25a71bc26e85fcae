"""The interface to the states in the store."""

from typing import Protocol

from rhubarbpaddle.rollout.log_end import LogEnd
from rhubarbpaddle.rollout.rollout_status import RolloutStatus


class StatusStore(Protocol):
    """Reads and conditionally writes the states of roll-outs."""

    async def read(self, service: str) -> tuple[RolloutStatus | None, LogEnd]:
        """Returns the newest status of a service and the end of the log.

        Raises:
            RhubarbpaddleError: The store sent no valid response.
        """
        ...

    async def write(self, status: RolloutStatus, end: LogEnd) -> bool:
        """Writes a status if the log still has the given end.

        Returns:
            Whether it was written. If not, another record was, or the log has
            come back from an older copy.

        Raises:
            LogUnavailableError: It was not written.
            AppendUnknownError: It may have been written, or may still be.
        """
        ...
