"""The platform's log as the rest of the package sees it."""

from datetime import timedelta
from typing import Protocol

from rhubarbpaddle.log.batch import Batch


class LogClient(Protocol):
    """Appends to and reads from named streams."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record.

        Returns:
            The record's offset.

        Raises:
            LogUnavailableError: Nothing was appended.
            AppendUnknownError: The record may have been appended.
        """
        ...

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> Batch:
        """Reads records.

        Args:
            stream: The stream's name.
            start: The first offset wanted.
            limit: How many records to return at most.
            wait: How long to wait if there is no record yet.

        Raises:
            LogUnavailableError: The log did not answer.
        """
        ...
