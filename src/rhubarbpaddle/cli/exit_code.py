"""The exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The meaning of the exit code of a command."""

    SUCCESS = 0
    FAILURE = 1
    USAGE = 2
    INVALID_TEXT = 3
    CONFLICT = 4
    LOG_UNREACHABLE = 5
    PUBLICATION_UNKNOWN = 6
    NOT_IN_FORCE = 7
    FINDINGS = 8
    INVALID_SETTINGS = 64
    FORCED_STOP = 75
