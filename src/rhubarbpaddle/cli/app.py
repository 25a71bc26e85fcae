"""The commands for operators."""

import sys
from pathlib import Path

import cyclopts

from rhubarbpaddle import __version__
from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.cli.publish import publish_text
from rhubarbpaddle.configuration import parse_configuration
from rhubarbpaddle.exceptions import ConfigurationError

app = cyclopts.App(name="rhubarbpaddle", version=__version__)


@app.command
def node(settings: Path) -> None:
    """Run the daemon with these settings."""
    from rhubarbpaddle.cli.node import run_node

    sys.exit(run_node(str(settings)))


@app.command
def check(text: Path) -> None:
    """Check an operators' text and say what is wrong with it."""
    try:
        parse_configuration(text.read_text())
    except ConfigurationError as exc:
        for problem in exc.problems:
            print(f"{text}: {problem}", file=sys.stderr)
        sys.exit(ExitCode.INVALID_TEXT)
    print(f"{text}: valid")


@app.command
def publish(text: Path, *, log: str) -> None:
    """Publish an operators' text on the platform's log."""
    sys.exit(publish_text(text, log))
