"""Interface of clients of the platform's log."""

from datetime import timedelta
from typing import Protocol

from rhubarbpaddle.log.batch import Batch


class LogClient(Protocol):
    """Appends records to named streams and reads them."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record to a stream.

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
        """Reads records from a stream.

        Args:
            stream: The stream's name.
            start: The offset of the first record to return.
            limit: The maximum number of records to return.
            wait: How long to wait if there is no record at `start` yet.

        Raises:
            LogUnavailableError: The log did not respond or returned an error.
        """
        ...
