"""Tells whether the log has kept the records that it had."""

from typing import Protocol


class LogObserver(Protocol):
    """Knows records of the log other than those of one stream."""

    async def has_lost_records(self) -> bool:
        """Returns whether records that were read before are gone.

        Raises:
            LogUnavailableError: The log did not answer.
        """
