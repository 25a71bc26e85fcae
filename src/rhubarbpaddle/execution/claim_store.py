"""The way from a gateway to the owner of a key's partition."""

from typing import Protocol

from rhubarbpaddle.execution.claim_held import ClaimHeld
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease


class ClaimStore(Protocol):
    """Grants each key to one claim."""

    async def claim(self, record: ClaimRecord) -> ClaimHeld | None:
        """Claims a key. Asking again with the same claim id is harmless.

        Returns:
            None if the claim is granted, else what holds the key.

        Raises:
            RefusedError: The claim is refused. With outcome `unknown` it may
                have been recorded, or the key may have run before.
        """
        ...

    async def report(self, record: ClaimOutcome | ClaimRelease) -> None:
        """Records the end of a granted claim. Repeating it is harmless.

        Raises:
            RefusedError: The record may be missing from the log.
        """
        ...
