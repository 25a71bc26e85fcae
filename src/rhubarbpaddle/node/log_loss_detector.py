"""Detects that the log has lost records."""

from typing import Protocol


class LogLossDetector(Protocol):
    """Detects lost records from a stream other than the caller's own."""

    async def has_lost_records(self) -> bool:
        """Returns whether records that were read before are lost.

        Raises:
            LogUnavailableError: The log did not respond.
        """
