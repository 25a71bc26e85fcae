"""Whether the requests of a route may be repeated."""

from enum import StrEnum


class RouteKind(StrEnum):
    """The kind of a route's requests, which determines how they are retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"
    DOWNLOAD = "download"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD)
