"""Detects lost records of the log's `configuration` stream."""

from collections.abc import Callable
from datetime import timedelta

from rhubarbpaddle.log import LogClient
from rhubarbpaddle.node.configuration_reader import STREAM


class ConfigurationStreamLossDetector:
    """Detects that the `configuration` stream is shorter than before.

    A `LogLossDetector` for the other streams of the log.
    """

    def __init__(self, log: LogClient, get_offset: Callable[[], int]) -> None:
        """Creates a detector.

        Args:
            log: The platform's log.
            get_offset: Returns the offset after the last record read, or 0 if
                none was read.
        """
        self._log = log
        self._get_offset = get_offset

    async def has_lost_records(self) -> bool:
        """Returns whether the stream ends before the last record read.

        If nothing was read, a loss can't be ruled out, so this returns True.

        Raises:
            LogUnavailableError: The log did not respond.
        """
        read_offset = self._get_offset()
        batch = await self._log.read(STREAM, read_offset, 1, timedelta())
        return read_offset == 0 or batch.end_offset < read_offset
