"""How often the requests of a route may run."""

from enum import StrEnum


class RouteKind(StrEnum):
    """What a route permits to be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"
