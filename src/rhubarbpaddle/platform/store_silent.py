"""The error of a call to the store that got no response in time."""

from rhubarbpaddle.exceptions import LogUnavailableError


class StoreSilentError(LogUnavailableError):
    """The store did not respond in time; the call may have taken effect."""

    code = "store_silent"
