"""The `status` command, which prints the status of all nodes."""

import json
import random
import sys
from datetime import timedelta

import trio

from rhubarbpaddle.cli.client_settings import ClientSettings
from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.cli.fleet_client import FleetClient
from rhubarbpaddle.cli.fleet_report import FleetReport
from rhubarbpaddle.cli.publisher import Publisher
from rhubarbpaddle.exceptions import LogUnavailableError, RhubarbpaddleError
from rhubarbpaddle.log import HttpLogClient
from rhubarbpaddle.system_clock import SystemClock
from rhubarbpaddle.tcp_network import TcpNetwork

_LOG_RETRY_TIMEOUT = timedelta(seconds=3)


def show_status(settings: ClientSettings, *, as_json: bool) -> ExitCode:
    """Prints the status of all nodes.

    Returns:
        0 if all nodes run the newest configuration; 1 if the node at the
        configured address does not respond; 7 if a node runs another
        configuration, does not respond, or no configuration is in force.
    """
    network = TcpNetwork()
    client = FleetClient(network)
    try:
        fleet = trio.run(client.fetch_all, settings.node_address)
    except RhubarbpaddleError as exc:
        print(
            f"node {settings.node_address} does not respond: {exc.detail}; "
            "try --node with another node's admin address",
            file=sys.stderr,
        )
        return ExitCode.FAILURE
    newest = fleet.find_newest()
    if settings.log_address:
        log = HttpLogClient(network, settings.log_address)
        newest = max(newest, _read_newest_version(log))
    version, digest = newest
    behind = fleet.list_nodes_behind(version, digest)
    if as_json:
        _print_json(fleet, version, digest, behind)
    else:
        _print_table(fleet, version, digest, behind)
    if behind or fleet.unreached or not version:
        return ExitCode.NOT_IN_FORCE
    return ExitCode.SUCCESS


def _read_newest_version(log: HttpLogClient) -> tuple[int, str]:
    publisher = Publisher(
        log, SystemClock(), random.Random(), _LOG_RETRY_TIMEOUT
    )
    try:
        trio.run(publisher.read)
    except LogUnavailableError as exc:
        print(
            f"the log does not respond ({exc.detail}); the nodes are compared "
            "with each other only",
            file=sys.stderr,
        )
    accepted = publisher.history.accepted
    return (accepted.version, accepted.digest) if accepted else (0, "")


def _print_json(
    fleet: FleetReport, version: int, digest: str, behind: list[str]
) -> None:
    document = {
        "version": version,
        "digest": digest,
        "behind": behind,
        "unreached": dict(fleet.unreached),
        "nodes": {k: v.document for k, v in sorted(fleet.reports.items())},
    }
    print(json.dumps(document, indent=2))


def _print_table(
    fleet: FleetReport, version: int, digest: str, behind: list[str]
) -> None:
    print("\n".join(fleet.format_table()))
    print()
    if not version:
        print("No configuration is in force. Publish one.")
        return
    total = len(fleet.reports) + len(fleet.unreached)
    current = len(fleet.reports) - len(behind)
    print(f"{current} of {total} nodes run version {version} ({digest[:8]}).")
    for name in behind:
        print(f"BEHIND: {name} runs version {fleet.reports[name].version}")
    for name, reason in sorted(fleet.unreached.items()):
        print(f"NOT REACHED: {name} at {reason}")
