"""The error of a read of deleted records."""

from rhubarbpaddle.exceptions import LogUnavailableError


class HistoryLostError(LogUnavailableError):
    """The records that were asked for have been deleted."""

    code = "history_lost"
