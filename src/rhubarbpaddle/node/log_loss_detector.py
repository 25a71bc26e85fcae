"""Detects that the log has lost records."""

from typing import Protocol


class LogLossDetector(Protocol):
    """Detects lost records by reading a stream of its own.

    Used where a reader's own stream can't show whether it has lost records.
    """

    async def has_lost_records(self) -> bool:
        """Returns whether records that were read before are lost.

        Raises:
            LogUnavailableError: The log did not respond.
        """
