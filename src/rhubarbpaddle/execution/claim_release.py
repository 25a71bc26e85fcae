"""The record that gives a claim back."""

from typing import NamedTuple


class ClaimRelease(NamedTuple):
    """States that a claimed request did not run and never will.

    Attributes:
        key: The claim's key.
        claim_id: The claim.
    """

    key: bytes
    claim_id: bytes
