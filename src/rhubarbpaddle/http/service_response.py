"""The response to a short exchange with a service."""

from collections.abc import Sequence
from typing import NamedTuple


class ServiceResponse(NamedTuple):
    """A complete response.

    Attributes:
        status: The status code.
        headers: The header fields; their names are in lower case.
        body: The body.
    """

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the value of the first field with a name in lower case."""
        return next(
            (value for field, value in self.headers if field == name), None
        )
