"""A record that waits for its append."""

import trio

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.claim_ledger import LogRecord


class PendingRecord:
    """A record and what became of it.

    Attributes:
        record: The record.
        done: Set once the record was applied or refused.
        error: Why it was refused, or None.
    """

    def __init__(self, record: LogRecord) -> None:
        self.record = record
        self.done = trio.Event()
        self.error: RefusedError | None = None

    def finish(self, error: RefusedError | None = None) -> None:
        """Ends the wait."""
        self.error = error
        self.done.set()
