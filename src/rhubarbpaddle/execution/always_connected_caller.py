"""The presence of a caller that never disconnects."""


class AlwaysConnectedCaller:
    """Represents the sender of a request that has no caller connection."""

    def has_disconnected(self) -> bool:
        """Returns False, because there is no connection to close."""
        return False


ALWAYS_CONNECTED_CALLER = AlwaysConnectedCaller()
