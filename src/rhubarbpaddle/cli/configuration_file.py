"""Reads and checks a configuration file."""

import sys
from pathlib import Path
from typing import NamedTuple

from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.configuration.checked_text import CheckedText
from rhubarbpaddle.configuration.text import check_text
from rhubarbpaddle.exceptions import ConfigurationError


class ConfigurationFile(NamedTuple):
    """A valid configuration file.

    Attributes:
        text: The content of the file.
        checked: The parsed configuration and its warnings.
    """

    text: str
    checked: CheckedText


def load_configuration_file(path: Path) -> ConfigurationFile:
    """Reads and checks a configuration file, and prints its warnings.

    If the file can't be read or is invalid, prints the problems and exits.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        print(f"{path}: {exc.strerror}", file=sys.stderr)
        sys.exit(ExitCode.FAILURE)
    except ValueError as exc:
        print(f"{path}: not UTF-8 text: {exc}", file=sys.stderr)
        sys.exit(ExitCode.INVALID_TEXT)
    try:
        checked = check_text(text)
    except ConfigurationError as exc:
        for problem in exc.problems:
            print(f"{path}: {problem}", file=sys.stderr)
        count = len(exc.problems)
        print(f"{path}: invalid, {count} problem(s)", file=sys.stderr)
        sys.exit(ExitCode.INVALID_TEXT)
    for warning in checked.warnings:
        print(f"{path}: warning: {warning}", file=sys.stderr)
    return ConfigurationFile(text, checked)
