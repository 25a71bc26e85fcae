"""A claim record that waits to be appended."""

import trio

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.claim_ledger import LogRecord


class PendingRecord:
    """A queued record and the result of its append.

    Attributes:
        record: The record to append.
        done: Set when the record has been applied or refused.
        error: The reason for the refusal, or None.
    """

    def __init__(self, record: LogRecord) -> None:
        self.record = record
        self.done = trio.Event()
        self.error: RefusedError | None = None

    def finish(self, error: RefusedError | None = None) -> None:
        """Sets the result and wakes the waiting task."""
        self.error = error
        self.done.set()
