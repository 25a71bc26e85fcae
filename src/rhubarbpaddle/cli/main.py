"""The entry point of the executable."""

import sys
from collections.abc import Sequence

from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.cli.process import prevent_library_search
from rhubarbpaddle.exceptions import SettingsError


def main(argv: Sequence[str] | None = None) -> None:
    """Runs a command and exits with its code."""
    prevent_library_search()
    tokens = list(sys.argv[1:] if argv is None else argv)
    # The daemon does without the command line's libraries, which would cost
    # a third of its memory.
    if len(tokens) == 2 and tokens[0] == "node" and tokens[1][:1] != "-":
        from rhubarbpaddle.cli.node import run_node

        try:
            sys.exit(run_node(tokens[1]))
        except SettingsError as exc:
            print(f"rhubarbpaddle: {exc}", file=sys.stderr)
            sys.exit(ExitCode.INVALID_SETTINGS)
    from rhubarbpaddle.cli.app import app

    app(tokens)
