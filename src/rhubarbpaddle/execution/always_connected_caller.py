"""The caller of a request that has no caller connection."""


class AlwaysConnectedCaller:
    """Represents the sender of a request that cannot disconnect."""

    def has_disconnected(self) -> bool:
        """Returns False, because there is no connection to close."""
        return False


ALWAYS_CONNECTED_CALLER = AlwaysConnectedCaller()
