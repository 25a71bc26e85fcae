"""Publishes configurations on the platform's log."""

import json
import random
import uuid
from datetime import timedelta

from rhubarbpaddle.backoff import Backoff
from rhubarbpaddle.cli.publish_outcome import PublishOutcome
from rhubarbpaddle.cli.publish_result import PublishResult
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.accepted_publication import AcceptedPublication
from rhubarbpaddle.configuration.checkpoint import Checkpoint
from rhubarbpaddle.configuration.configuration_history import (
    ConfigurationHistory,
)
from rhubarbpaddle.configuration.publication import Publication
from rhubarbpaddle.exceptions import AppendUnknownError, LogUnavailableError
from rhubarbpaddle.log import LogClient
from rhubarbpaddle.node.configuration_reader import STREAM, ConfigurationReader


class Publisher:
    """Reads the configuration in force and publishes new ones.

    Each call retries with backoff until `retry_timeout` has passed.

    Attributes:
        history: The accepted configurations, as far as the log was read.
    """

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        rng: random.Random,
        retry_timeout: timedelta,
    ) -> None:
        self.history = ConfigurationHistory()
        self._log = log
        self._clock = clock
        self._rng = rng
        self._retry_seconds = retry_timeout.total_seconds()
        self._accepted: dict[int, AcceptedPublication] = {}
        self._reader = ConfigurationReader(
            log, self.history, self._record_accepted
        )

    async def read(self) -> None:
        """Reads the log to its end, so that `history` is current.

        Raises:
            LogUnavailableError: The log did not respond in time.
        """
        backoff = Backoff(self._rng)
        deadline = self._clock.monotonic() + self._retry_seconds
        while True:
            try:
                if not self.history.version:
                    await self._reader.find_start()
                await self._reader.catch_up()
                return
            except LogUnavailableError:
                if self._clock.monotonic() >= deadline:
                    raise
            await self._clock.sleep(backoff.next_delay())

    async def publish(
        self, text: str, base: int, publisher: str
    ) -> PublishResult:
        """Publishes a configuration that replaces a version read before.

        An append that got no response is repeated, with the same id and base,
        only after the log was read to its end without finding it. If both are
        in the log, the second has no effect because its base is out of date.

        Args:
            text: The configuration text.
            base: The version that must be in force for it to be accepted.
            publisher: Who publishes, as `USER@HOST`.

        Raises:
            LogUnavailableError: Nothing was appended.
        """
        publication = Publication(
            kind="publication",
            id=uuid.uuid4().hex,
            base=base,
            text=text,
            publisher=publisher,
        )
        payload = json.dumps(publication).encode()
        backoff = Backoff(self._rng)
        deadline = self._clock.monotonic() + self._retry_seconds
        may_be_appended = False
        offset: int | None = None
        while True:
            try:
                if offset is None and self.history.version == base:
                    offset = await self._log.append(STREAM, payload)
                    may_be_appended = True
                await self._reader.catch_up()
            except AppendUnknownError:
                may_be_appended = True
                await self._try_catch_up()
            except LogUnavailableError:
                if self._clock.monotonic() >= deadline and not may_be_appended:
                    raise
            if self.history.version != base:
                return self._make_result(publication)
            if offset is not None and self.history.next_offset > offset:
                return PublishResult(
                    PublishOutcome.REJECTED, publication["id"], None
                )
            if self._clock.monotonic() >= deadline:
                return PublishResult(
                    PublishOutcome.UNKNOWN, publication["id"], None
                )
            await self._clock.sleep(backoff.next_delay())

    async def recover(self, text: str, version: int) -> bool:
        """Puts a configuration in force by a checkpoint.

        Needed if the log has deleted all records of the one in force.

        Appending the checkpoint twice is harmless, so an append that got no
        response is repeated.

        Args:
            text: The configuration text.
            version: The version that the text gets.

        Returns:
            Whether the text is now in force.

        Raises:
            LogUnavailableError: The log did not respond in time.
        """
        checkpoint = Checkpoint(
            kind="checkpoint",
            version=version,
            text=text,
            as_of=self.history.end_offset - 1,
            written_ms=int(self._clock.now().timestamp() * 1000),
        )
        payload = json.dumps(checkpoint).encode()
        deadline = self._clock.monotonic() + self._retry_seconds
        backoff = Backoff(self._rng)
        while True:
            try:
                await self._log.append(STREAM, payload)
                await self._reader.catch_up()
            except (AppendUnknownError, LogUnavailableError) as exc:
                if self._clock.monotonic() >= deadline:
                    raise LogUnavailableError(
                        exc.detail, step="recover", peer=exc.peer
                    ) from exc
                await self._clock.sleep(backoff.next_delay())
                continue
            accepted = self.history.accepted
            return accepted is not None and accepted.text == text

    async def _try_catch_up(self) -> None:
        try:
            await self._reader.catch_up()
        except LogUnavailableError:
            # The loop in `publish` retries until its deadline.
            return

    def _make_result(self, publication: Publication) -> PublishResult:
        accepted = self._accepted.get(publication["base"] + 1)
        if accepted is None:
            # A checkpoint was read in place of the publications that it
            # includes.
            outcome = PublishOutcome.UNKNOWN
        elif accepted.id == publication["id"]:
            outcome = PublishOutcome.ACCEPTED
        else:
            outcome = PublishOutcome.REJECTED
        return PublishResult(outcome, publication["id"], accepted)

    def _record_accepted(self) -> None:
        origin = self.history.origin
        if origin is not None:
            self._accepted[origin.version] = origin
