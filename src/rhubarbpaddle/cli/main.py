"""The entry point of the command line."""

import sys
from collections.abc import Sequence

from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.exceptions import SettingsError
from rhubarbpaddle.launch.startup import defer_tls, prevent_library_search


def main(argv: Sequence[str] | None = None) -> None:
    """Runs a command and exits with its code.

    Args:
        argv: The arguments after the program name; those of the process if
            None.
    """
    prevent_library_search()
    defer_tls()
    tokens = list(sys.argv[1:] if argv is None else argv)
    # Nodes are started without importing the command-line libraries, which
    # would take a third of their memory.
    if len(tokens) == 2 and tokens[0] == "node" and tokens[1][:1] != "-":
        from rhubarbpaddle.cli.node import run_node

        sys.exit(run_node(tokens[1]))
    if tokens == ["platform"]:
        from rhubarbpaddle.cli.platform_node import run_platform_node

        sys.exit(run_platform_node())
    from cyclopts import CycloptsError

    from rhubarbpaddle.cli.app import app

    try:
        app(tokens, exit_on_error=False)
    except CycloptsError:
        sys.exit(ExitCode.USAGE)
    except SettingsError as exc:
        print(f"rhubarbpaddle: {exc.peer}: {exc.detail}", file=sys.stderr)
        sys.exit(ExitCode.INVALID_SETTINGS)
    except KeyboardInterrupt:
        print("rhubarbpaddle: interrupted", file=sys.stderr)
        sys.exit(ExitCode.FAILURE)
