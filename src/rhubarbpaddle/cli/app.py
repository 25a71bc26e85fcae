"""Defines the commands and their options."""

import sys
from datetime import timedelta
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from rhubarbpaddle import __version__
from rhubarbpaddle.cli.check import check_file
from rhubarbpaddle.cli.check_options import CheckOptions
from rhubarbpaddle.cli.client_settings import ClientSettings
from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.cli.explain import explain_request
from rhubarbpaddle.cli.publish import PublishOptions, publish_file
from rhubarbpaddle.cli.status import show_status

app = App(
    name="rhubarbpaddle",
    version=__version__,
    help="Load balancer without a front tier.",
)
app.register_install_completion_command()


@app.command
def node(settings: Path) -> None:
    """Run a node with these settings."""
    from rhubarbpaddle.cli.node import run_node

    sys.exit(run_node(str(settings)))


@app.command
def platform() -> None:
    """Run a node with the settings file that RHUBARBPADDLE_SETTINGS names."""
    from rhubarbpaddle.cli.platform_node import run_platform_node

    sys.exit(run_platform_node())


@app.command
def check(
    text: Path,
    *,
    against: Path | None = None,
    published: Annotated[bool, Parameter(negative="")] = False,
    log: str | None = None,
    node: str | None = None,
    strict: Annotated[bool, Parameter(negative="")] = False,
    json: Annotated[bool, Parameter(negative="")] = False,
    patience: float = 20.0,
    settings: Path | None = None,
) -> None:
    """Check a configuration file before it is published.

    The file is a configuration text, or a configuration document of the
    platform. Prints errors, warnings, entries without effect, contradictory
    limits, and the difference from the configuration in force.

    Exit codes: 0 valid, 1 a file can't be read or a node does not respond,
    2 wrong usage, 3 invalid, 5 the log does not respond, 8 valid with entries
    without effect or contradictory limits (only with --strict).

    Args:
        text: The configuration file.
        against: The file of the configuration in force, to compare with.
        published: Compare with the configuration in force in the log.
        log: IP:PORT of the platform's log; implies --published.
        node: IP:PORT of the admin address of any node, to find zones and
            services without upstreams.
        strict: Exit with 8 if there are findings.
        json: Print JSON.
        patience: Retry for this many seconds while the log does not respond.
        settings: A JSON file with log_address, for --published.
    """
    log_address = ""
    client = ClientSettings()
    if published or log:
        client = ClientSettings.from_file(settings)
    client = client.override(log, node)
    if published or log:
        _require_address(client.log_address, "--log", "log_address")
        log_address = client.log_address
    if against is not None and log_address:
        print(
            "rhubarbpaddle: give --against or --published, not both",
            file=sys.stderr,
        )
        sys.exit(ExitCode.USAGE)
    options = CheckOptions(
        against,
        log_address,
        node or "",
        timedelta(seconds=patience),
        strict,
        json,
    )
    sys.exit(check_file(text, options))


@app.command
def explain(
    request_id: str,
    *logs: Path,
    json: Annotated[bool, Parameter(negative="")] = False,
) -> None:
    """Show what the logs of nodes say about one request.

    Exit codes: 0 found, 1 no line has this id, 2 a log can't be read.

    Args:
        request_id: The request's id.
        logs: Log files of one or several nodes, in any order; standard input
            if there are none.
        json: Print JSON.
    """
    sys.exit(explain_request(request_id, logs, as_json=json))


@app.command
def publish(
    text: Path,
    *,
    log: str | None = None,
    node: str | None = None,
    base: int | None = None,
    yes: Annotated[bool, Parameter(negative="")] = False,
    recover: int | None = None,
    wait: float | None = None,
    patience: float = 20.0,
    settings: Path | None = None,
) -> None:
    """Show what a configuration file changes, ask for confirmation, publish it.

    Exit codes: 0 accepted or already in force, 1 failed or not confirmed,
    2 wrong usage, 3 invalid file, 4 another publication was accepted first,
    5 the log does not respond and nothing was published, 6 outcome unknown,
    7 some node does not run it after --wait.

    Args:
        text: The configuration file.
        log: IP:PORT of the platform's log.
        node: IP:PORT of the admin address of any node, for --wait.
        base: Publish only if this version is in force.
        yes: Publish without confirmation.
        recover: Put the file in force as this version. Needed only if all nodes
            were down until the log had deleted every record.
        wait: Wait up to this many seconds until all nodes that respond run it.
        patience: Retry for this many seconds while the log does not respond.
        settings: A JSON file with log_address and node_address.
    """
    client = ClientSettings.from_file(settings).override(log, node)
    _require_address(client.log_address, "--log", "log_address")
    if recover is not None and recover < 1:
        print("rhubarbpaddle: --recover needs 1 or more", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    if wait is not None:
        _require_address(client.node_address, "--node", "node_address")
    options = PublishOptions(
        base, yes, recover, wait, timedelta(seconds=patience)
    )
    sys.exit(publish_file(text, client, options))


@app.command
def status(
    *,
    node: str | None = None,
    log: str | None = None,
    json: Annotated[bool, Parameter(negative="")] = False,
    settings: Path | None = None,
) -> None:
    """Show the configuration version and the upstream state of each node.

    Exit codes: 0 all nodes run the newest configuration, 1 the node does not
    respond, 7 a node runs another configuration or was not reached.

    Args:
        node: IP:PORT of the admin address of any node.
        log: IP:PORT of the platform's log, to compare the nodes with it.
        json: Print JSON.
        settings: A JSON file with log_address and node_address.
    """
    client = ClientSettings.from_file(settings).override(log, node)
    _require_address(client.node_address, "--node", "node_address")
    sys.exit(show_status(client, as_json=json))


def _require_address(address: str, option: str, key: str) -> None:
    if not address:
        print(
            f'rhubarbpaddle: give {option} IP:PORT, or "{key}" in a client '
            "settings file (--settings FILE)",
            file=sys.stderr,
        )
        sys.exit(ExitCode.USAGE)
