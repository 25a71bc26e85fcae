"""Follows the log's `configuration` stream."""

import json
from collections.abc import Callable
from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration import (
    AcceptedConfiguration,
    ConfigurationHistory,
)
from rhubarbpaddle.exceptions import LogUnavailableError
from rhubarbpaddle.platform import LogClient
from rhubarbpaddle.telemetry import get_logger

STREAM = "configuration"
_BATCH_RECORDS = 100
_WAIT = timedelta(seconds=5)
_RETRY_DELAY = timedelta(milliseconds=500)

_log = get_logger("configuration")


class ConfigurationFollower:
    """Keeps the accepted configuration up to date."""

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        on_change: Callable[[AcceptedConfiguration], None],
    ) -> None:
        self.history = ConfigurationHistory()
        self._log = log
        self._clock = clock
        self._on_change = on_change

    def get_accepted(self) -> AcceptedConfiguration | None:
        """Returns the configuration in force."""
        return self.history.accepted

    def get_version(self) -> int:
        """Returns the version in force, or 0."""
        accepted = self.history.accepted
        return accepted.version if accepted else 0

    def adopt(self, accepted: AcceptedConfiguration) -> bool:
        """Takes a configuration from a peer if it is newer."""
        if accepted.version <= self.get_version():
            return False
        self.history.accepted = accepted
        self._announce()
        return True

    async def run(self) -> None:
        """Reads the stream for as long as the node runs."""
        while True:
            try:
                batch = await self._log.read(
                    STREAM, self.history.next_offset, _BATCH_RECORDS, _WAIT
                )
            except LogUnavailableError as exc:
                _log.warn("configuration_read_failed", error=exc)
                await self._clock.sleep(_RETRY_DELAY)
                continue
            for record in batch.records:
                document = json.loads(record.payload)
                if self.history.apply(record.offset, document):
                    self._announce()

    def _announce(self) -> None:
        accepted = self.history.accepted
        assert accepted is not None
        _log.info(
            "configuration_in_force",
            version=accepted.version,
            digest=accepted.digest[:12],
            offset=accepted.as_of,
        )
        self._on_change(accepted)
