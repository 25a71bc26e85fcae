"""The options of the `check` command."""

from datetime import timedelta
from pathlib import Path
from typing import NamedTuple


class CheckOptions(NamedTuple):
    """What a configuration file is compared with, and how it is reported.

    Attributes:
        against: The file of the configuration in force, or None.
        log_address: `IP:PORT` of the log that the text in force is read from,
            or the empty string.
        node_address: `IP:PORT` of the admin address of a node whose members
            show where upstreams are, or the empty string.
        retry_timeout: How long to retry while the log does not respond.
        strict: Whether findings matter for the exit code.
        as_json: Whether to print JSON.
    """

    against: Path | None
    log_address: str
    node_address: str
    retry_timeout: timedelta
    strict: bool
    as_json: bool
