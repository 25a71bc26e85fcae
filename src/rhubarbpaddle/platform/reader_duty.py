"""The duty of a node to read the platform's store for other nodes."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.membership import (
    ReaderPosition,
    StoreAccessTable,
    StoreReaderElection,
)
from rhubarbpaddle.platform.store_silent import StoreSilentError

# A single call may fail because the store has closed an idle connection.
_MAX_FAILURES = 1
# How often a node that was passed over tries whether it can read again.
_PROBE_INTERVAL_SECONDS = 2.0


class ReaderDuty:
    """Hands the duty on to other nodes while this one can't read the store."""

    def __init__(
        self,
        election: StoreReaderElection,
        access: StoreAccessTable,
        clock: Clock,
    ) -> None:
        """Creates the duty of a node that has not read yet.

        Args:
            election: Elects the readers.
            access: Tells other nodes whether this one can read.
            clock: The source of time.
        """
        self._election = election
        self._access = access
        self._clock = clock
        self._failures = 0
        self._failed_at = float("-inf")

    def get_position(self) -> ReaderPosition | None:
        """Returns this node's place among the readers, or None."""
        return self._election.get_position()

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
