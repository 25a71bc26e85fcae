"""The answer to a claim whose key is held already."""

from typing import NamedTuple

from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_state import ClaimState


class ClaimHeld(NamedTuple):
    """Another claim came first.

    Attributes:
        state: How far the other request has got.
        outcome: Its response, if the state is `DONE`.
    """

    state: ClaimState
    outcome: ClaimOutcome | None = None
