"""Why a request was sent to an instance of a zone."""

from enum import Enum


class SpilloverReason(Enum):
    """Why a request went to another zone, or that it stayed in its own.

    Attributes:
        OWN_ZONE: It stayed in its own zone.
        NO_INSTANCE: Its own zone has no instance that takes requests.
        IMPAIRED: The instances of its own zone are slow, full or unreachable at
            the moment; it was sent on without a comparison of waits.
        SHORTAGE: Instances of its own zone refused it, and their queues are
            longer than the margin.
        SHARE: The shortage has lasted, so that it was sent to another zone
            first.
        SHORTER_QUEUE: It queues in another zone, where the wait is shorter.
        CANARY: It was sent to a version of its service that is on trial.
        DEADLINE: Its response is large, and it would have missed its deadline
            in its own zone.
    """

    OWN_ZONE = "own_zone"
    NO_INSTANCE = "no_instance"
    IMPAIRED = "impaired"
    SHORTAGE = "shortage"
    SHARE = "share"
    SHORTER_QUEUE = "shorter_queue"
    CANARY = "canary"
    DEADLINE = "deadline"

    @property
    def yields(self) -> bool:
        """Whether the request yields to those of the zone it is sent to.

        It could have waited in its own zone.
        """
        return self in _YIELDING


_YIELDING = frozenset(
    {
        SpilloverReason.SHORTAGE,
        SpilloverReason.SHARE,
        SpilloverReason.SHORTER_QUEUE,
        SpilloverReason.DEADLINE,
    }
)
