"""Whether the key that a request carries belongs to an organisation."""

from enum import Enum


class KeyState(Enum):
    """The state of a request's key in the configurations that are published.

    Attributes:
        KNOWN: It belongs to an organisation.
        WITHDRAWN: It was taken away by a configuration that was published at
            least 2 s before.
        UNKNOWN: It never belonged to an organisation.
    """

    KNOWN = "known"
    WITHDRAWN = "withdrawn"
    UNKNOWN = "unknown"
