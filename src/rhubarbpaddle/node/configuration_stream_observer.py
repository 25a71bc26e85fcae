"""Compares the configuration stream with what was read of it."""

from collections.abc import Callable
from datetime import timedelta

from rhubarbpaddle.log import LogClient
from rhubarbpaddle.node.configuration_reader import STREAM


class ConfigurationStreamObserver:
    """Compares the end of the `configuration` stream with what was read."""

    def __init__(self, log: LogClient, get_offset: Callable[[], int]) -> None:
        """Makes a witness.

        Args:
            log: The platform's log.
            get_offset: Returns the offset after the last record that was
                read; 0 if none was.
        """
        self._log = log
        self._get_offset = get_offset

    async def has_lost_records(self) -> bool:
        """Returns whether the stream ends before what was read of it."""
        read_offset = self._get_offset()
        batch = await self._log.read(STREAM, read_offset, 1, timedelta())
        return read_offset == 0 or batch.end_offset < read_offset
