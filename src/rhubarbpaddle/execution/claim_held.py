"""The result of claiming a key that another claim already holds."""

from typing import NamedTuple

from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_state import ClaimState


class ClaimHeld(NamedTuple):
    """Describes the claim that already holds a key.

    Attributes:
        state: The progress of the request that made the claim.
        outcome: The response to that request if the state is `DONE`.
    """

    state: ClaimState
    outcome: ClaimOutcome | None = None
