"""The interface through which a gateway claims idempotency keys."""

from typing import Protocol

from rhubarbpaddle.execution.claim_held import ClaimHeld
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease


class ClaimStore(Protocol):
    """Grants each key to at most one claim."""

    async def claim(self, record: ClaimRecord) -> ClaimHeld | None:
        """Claims a key; safe to repeat with the same claim id.

        Returns:
            None if the claim is granted, otherwise the claim that holds the
            key.

        Raises:
            RefusedError: The claim is refused. If the outcome is `unknown`,
                the claim may have been recorded, or an earlier request with
                this key may have run.
        """
        ...

    async def report(self, record: ClaimOutcome | ClaimRelease) -> None:
        """Records the outcome or release of a granted claim; safe to repeat.

        Raises:
            RefusedError: The record may not have reached the log.
        """
        ...
