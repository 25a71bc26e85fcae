"""The status of a node."""

from enum import StrEnum


class MemberStatus(StrEnum):
    """What is known of a node."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
