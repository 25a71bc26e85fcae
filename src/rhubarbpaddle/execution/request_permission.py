"""The permission of a request to run, which may end while it waits."""

from typing import Protocol


class RequestPermission(Protocol):
    """Represents what entitled the caller to the request."""

    def check(self) -> None:
        """Checks that the request may still run.

        Raises:
            RefusedError: The permission has ended.
        """
        ...
