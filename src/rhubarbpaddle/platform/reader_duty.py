"""The duty of a node to read the platform's store for other nodes."""

from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.membership import (
    ReaderPosition,
    StoreAccessTable,
    StoreReaderElection,
)
from rhubarbpaddle.membership.reader_contact import ReaderContact
from rhubarbpaddle.platform.store_silent import StoreSilentError
from rhubarbpaddle.telemetry import get_logger

# A single call may fail because the store has closed an idle connection.
_MAX_FAILURES = 1
# How often a node checks whether it has to replace a reader that failed.
_MAX_CHECK_DELAY = timedelta(milliseconds=250)
_MIN_CHECK_DELAY = timedelta(milliseconds=10)
# How often a node that was passed over tries whether it can read again.
_PROBE_INTERVAL_SECONDS = 2.0

_log = get_logger("configuration")


class ReaderDuty:
    """Hands the duty on to other nodes while this one can't read the store."""

    def __init__(
        self,
        election: StoreReaderElection,
        access: StoreAccessTable,
        contact: ReaderContact,
        clock: Clock,
    ) -> None:
        """Creates the duty of a node that has not read yet.

        Args:
            election: Elects the readers.
            access: Tells other nodes whether this one can read.
            contact: Whether news of the readers reach this node.
            clock: The source of time.
        """
        self._election = election
        self._access = access
        self._contact = contact
        self._clock = clock
        self._failures = 0
        self._failed_at = float("-inf")

    def get_position(self) -> ReaderPosition | None:
        """Returns this node's place among the elected readers, or None."""
        return self._election.get_position()

    def choose_position(self) -> ReaderPosition | None:
        """Returns the position in which to read now, or None not to.

        A node that no news of the elected readers reach substitutes them.
        """
        position = self._election.get_position()
        was_substitute = self._contact.is_substitute()
        is_substitute = self._contact.update(position is not None)
        if is_substitute != was_substitute:
            self._log_contact(is_substitute, position is not None)
        return ReaderPosition(0, 1) if is_substitute else position

    def _log_contact(self, is_lost: bool, is_elected: bool) -> None:
        silent_ms = round(self._contact.get_age() * 1000)
        if is_lost:
            _log.info("reader_contact_lost", silent_ms=silent_ms)
        else:
            _log.info("reader_contact", silent_ms=silent_ms, elected=is_elected)

    def get_check_delay(self) -> timedelta:
        """Returns after which time a node that doesn't read looks again."""
        remaining = self._contact.get_remaining()
        return max(_MIN_CHECK_DELAY, min(_MAX_CHECK_DELAY, remaining))

    def has_contact(self) -> bool:
        """Returns whether a change in the store would have been heard of."""
        if self._contact.is_reading():
            return self._failures == 0
        return not self._contact.is_lost()

    def is_probe_due(self) -> bool:
        """Returns whether to try a read though other nodes have the duty.

        They keep it until the read succeeds.
        """
        return self._access.is_own_failing() and (
            self._clock.monotonic() - self._failed_at >= _PROBE_INTERVAL_SECONDS
        )

    def record_success(self) -> None:
        """Records that the store has responded to a read."""
        self._failures = 0
        self._access.update_own(is_failing=False)

    def record_failure(self, exc: RhubarbpaddleError) -> None:
        """Records that a read has failed.

        Args:
            exc: Why it failed. After a silence no time is left for a second
                attempt.
        """
        self._failures += 1
        self._failed_at = self._clock.monotonic()
        if self._failures > _MAX_FAILURES or isinstance(exc, StoreSilentError):
            self._access.update_own(is_failing=True)
