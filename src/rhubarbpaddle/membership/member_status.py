"""The status of a node."""

from enum import StrEnum


class MemberStatus(StrEnum):
    """The status of a node as recorded in its peers' member tables.

    A node that can't be reached is `SUSPECT` and becomes `DEAD` unless it
    refutes the suspicion. `LEAVING` is a node that shuts down.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
