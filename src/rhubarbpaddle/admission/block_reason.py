"""Reasons for which an instance can't accept a request."""

from enum import StrEnum


class BlockReason(StrEnum):
    """A temporary reason not to start a request on an instance.

    `COLD` is a cold instance whose request rate is used up, `FULL` one
    without a free slot, `SLOW` one whose slowdown factor is too high, and
    `FAILING` one whose failure rate is too high.
    """

    COLD = "cold"
    FULL = "full"
    SLOW = "slow"
    FAILING = "failing"
