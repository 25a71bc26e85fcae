"""Keeps the configuration up to date from the log."""

import random
from collections.abc import Callable, Collection
from datetime import timedelta
from typing import Self

import trio

from rhubarbpaddle.backoff import Backoff
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.configuration_history import (
    ConfigurationHistory,
)
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.exceptions import LogUnavailableError
from rhubarbpaddle.log import LogClient
from rhubarbpaddle.node.checkpoint_writer import CheckpointWriter
from rhubarbpaddle.node.configuration_reader import ConfigurationReader
from rhubarbpaddle.node.configuration_state import ConfigurationState
from rhubarbpaddle.node.settings import NodeSettings
from rhubarbpaddle.telemetry import get_logger

_LONG_POLL_TIMEOUT = timedelta(seconds=5)
# A response without records that arrives earlier than this is not the end of
# a long poll.
_MIN_LONG_POLL_SECONDS = 1.0

_log = get_logger("configuration")


class ConfigurationFollower:
    """Follows the log's `configuration` stream and applies its records.

    Attributes:
        history: The accepted configuration and the replay state.
    """

    def __init__(
        self,
        node_id: str,
        checkpoint_interval: timedelta,
        log_retention: timedelta,
        log: LogClient,
        clock: Clock,
        rng: random.Random,
        get_members: Callable[[], Collection[str]],
        on_change: Callable[[AcceptedConfiguration], None],
    ) -> None:
        self.history = ConfigurationHistory()
        self._log_retention = log_retention
        self._clock = clock
        self._on_change = on_change
        self._backoff = Backoff(rng)
        self._reader = ConfigurationReader(
            log, self.history, self._notify_change
        )
        self._checkpoint_writer = CheckpointWriter(
            node_id, checkpoint_interval, self.history, log, clock, get_members
        )
        self._confirmed_at: float | None = None
        self._had_gap = False

    @classmethod
    def from_config(
        cls,
        settings: NodeSettings,
        log: LogClient,
        clock: Clock,
        rng: random.Random,
        get_members: Callable[[], Collection[str]],
        on_change: Callable[[AcceptedConfiguration], None],
    ) -> Self:
        """Creates the follower of a node.

        Args:
            settings: The node's settings.
            log: The platform's log.
            clock: The source of time.
            rng: The random source for jitter.
            get_members: Returns the node ids of the live members, one of which
                writes the next checkpoint.
            on_change: Called with each new configuration in force.
        """
        return cls(
            settings.node_id,
            settings.checkpoint_interval,
            settings.log_retention,
            log,
            clock,
            rng,
            get_members,
            on_change,
        )

    def get_accepted(self) -> AcceptedConfiguration | None:
        """Returns the configuration in force, with its `as_of`, or None."""
        return self.history.accepted

    def get_version(self) -> int:
        """Returns the version in force, or 0 if there is none."""
        return self.history.version

    def get_state(self) -> ConfigurationState:
        """Returns the version in force and how current it is."""
        accepted = self.history.accepted
        age = None
        if self._confirmed_at is not None:
            age = self._clock.monotonic() - self._confirmed_at
        return ConfigurationState(
            version=self.history.version,
            digest=accepted.digest if accepted else "",
            age_seconds=age,
            unverified=self.history.unverified,
            gap=self.history.gap,
            unapplied_records=self.history.unapplied_records,
        )

    def get_first_era(self) -> int:
        """Returns the era of all versions, because the log has only one."""
        return 0

    def adopt_text(self, version: StateVersion, text: str, as_of: int) -> bool:
        """Adopts a peer's configuration if it is newer.

        Args:
            version: The version that the peer has in force.
            text: Its configuration text.
            as_of: The last log offset that the peer had replayed.

        Returns:
            Whether it came into force on this node.

        Raises:
            ConfigurationError: The text is invalid.
        """
        accepted = AcceptedConfiguration.from_text(version.number, text, as_of)
        changed = self.history.adopt(accepted)
        if changed:
            self._notify_change()
        return changed

    async def run(self) -> None:
        """Follows the stream and writes checkpoints until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._checkpoint_writer.run)
            nursery.start_soon(self._follow)

    async def _follow(self) -> None:
        has_start_offset = False
        wait = _LONG_POLL_TIMEOUT
        while True:
            try:
                if not has_start_offset and not self.history.version:
                    await self._reader.find_start()
                has_start_offset = True
                previous_offset = self.history.next_offset
                started = self._clock.monotonic()
                await self._reader.read(wait)
            except LogUnavailableError as exc:
                _log.warn("configuration_read_failed", error=exc)
                # A held read that fails takes 7 s, too long at the end of an
                # outage for the 8 s in which a publication must be in force.
                wait = timedelta()
                await self._clock.sleep(self._backoff.next_delay())
                continue
            elapsed = self._clock.monotonic() - started
            if (
                wait
                and self.history.next_offset == previous_offset
                and elapsed < _MIN_LONG_POLL_SECONDS
            ):
                # The log doesn't support long polls, or its end is behind the
                # configuration adopted from a peer.
                await self._clock.sleep(self._backoff.next_delay())
            else:
                self._backoff.reset()
            wait = _LONG_POLL_TIMEOUT
            if not self.history.unapplied_records:
                self._confirmed_at = self._clock.monotonic()
            self._log_new_gap()

    def _log_new_gap(self) -> None:
        if self.history.gap and not self._had_gap:
            _log.error(
                "configuration_gap",
                version=self.history.version,
                next_offset=self.history.next_offset,
            )
        self._had_gap = self.history.gap

    def _notify_change(self) -> None:
        accepted = self.history.accepted
        assert accepted is not None
        _log.info(
            "configuration_in_force",
            version=accepted.version,
            digest=accepted.digest[:12],
            offset=accepted.as_of,
            unverified=self.history.unverified,
        )
        self._warn_about_claim_windows(accepted)
        self._on_change(accepted)

    def _warn_about_claim_windows(
        self, accepted: AcceptedConfiguration
    ) -> None:
        """Warns about claim windows that are too long for the log's retention.

        Only nodes know the retention, so the command `check` can't warn.
        """
        for service in accepted.configuration.services.values():
            if service.claim_window > self._log_retention / 2:
                _log.warn(
                    "claim_window_too_long",
                    service=service.name,
                    claim_window=service.claim_window,
                    log_retention=self._log_retention,
                )
