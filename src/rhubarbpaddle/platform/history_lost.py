"""The error of reading records that the store has deleted."""

from rhubarbpaddle.exceptions import LogUnavailableError


class HistoryLostError(LogUnavailableError):
    """The requested records have been deleted from the store."""

    code = "history_lost"
