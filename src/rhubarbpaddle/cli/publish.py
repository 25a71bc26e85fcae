"""The `publish` command, which puts a configuration in force."""

import getpass
import os
import random
import socket
import sys
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import trio

from rhubarbpaddle.cli.client_settings import ClientSettings
from rhubarbpaddle.cli.configuration_difference import ConfigurationDifference
from rhubarbpaddle.cli.configuration_file import (
    ConfigurationFile,
    load_configuration_file,
)
from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.cli.fleet_client import FleetClient
from rhubarbpaddle.cli.fleet_report import FleetReport
from rhubarbpaddle.cli.publish_outcome import PublishOutcome
from rhubarbpaddle.cli.publish_result import PublishResult
from rhubarbpaddle.cli.publisher import Publisher
from rhubarbpaddle.configuration.accepted_publication import AcceptedPublication
from rhubarbpaddle.exceptions import LogUnavailableError, RhubarbpaddleError
from rhubarbpaddle.log import HttpLogClient
from rhubarbpaddle.system_clock import SystemClock
from rhubarbpaddle.tcp_network import TcpNetwork

_POLL_SECONDS = 0.25


class PublishOptions(NamedTuple):
    """The options of the `publish` command.

    Attributes:
        base: The version that must be in force, or None for any version.
        yes: Whether to publish without asking for confirmation.
        recover: The version to put in force after the log has lost all
            accepted publications, or None.
        wait_seconds: How long to wait until the nodes run the published
            version, or None not to wait.
        retry_timeout: How long to retry while the log does not respond.
    """

    base: int | None
    yes: bool
    recover: int | None
    wait_seconds: float | None
    retry_timeout: timedelta


def publish_file(
    path: Path, settings: ClientSettings, options: PublishOptions
) -> ExitCode:
    """Publishes a configuration file and prints the result.

    Exits if the file can't be read or is invalid.
    """
    file = load_configuration_file(path)
    log = HttpLogClient(TcpNetwork(), settings.log_address)
    publisher = Publisher(
        log, SystemClock(), random.Random(), options.retry_timeout
    )
    try:
        trio.run(publisher.read)
        early_exit = _compare_and_confirm(path, file, publisher, options)
        if early_exit is ExitCode.SUCCESS:
            return _wait_if_requested(
                settings, options, publisher.history.version
            )
        if early_exit is not None:
            return early_exit
        if publisher.history.gap and options.recover is not None:
            return _recover(settings, options, publisher, file.text)
        base = publisher.history.version
        result = trio.run(publisher.publish, file.text, base, _get_publisher())
    except LogUnavailableError as exc:
        print(
            f"The log at {settings.log_address} does not respond "
            f"({exc.detail}). Nothing was published. Try again later.",
            file=sys.stderr,
        )
        return ExitCode.LOG_UNREACHABLE
    code = _print_result(path, result)
    if code is ExitCode.SUCCESS:
        return _wait_if_requested(settings, options, base + 1)
    return code


def _recover(
    settings: ClientSettings,
    options: PublishOptions,
    publisher: Publisher,
    text: str,
) -> ExitCode:
    assert options.recover is not None
    if not trio.run(publisher.recover, text, options.recover):
        print(
            "Another configuration came into force in the meantime.",
            file=sys.stderr,
        )
        return ExitCode.CONFLICT
    version = publisher.history.version
    print(f"recovered as version {version}")
    return _wait_if_requested(settings, options, version)


def _wait_if_requested(
    settings: ClientSettings, options: PublishOptions, version: int
) -> ExitCode:
    if options.wait_seconds is None:
        return ExitCode.SUCCESS
    return trio.run(
        _wait_for_nodes, settings.node_address, version, options.wait_seconds
    )


def _compare_and_confirm(
    path: Path,
    file: ConfigurationFile,
    publisher: Publisher,
    options: PublishOptions,
) -> ExitCode | None:
    """Prints the difference and asks for confirmation.

    Returns:
        The exit code if there is nothing to publish, or None to go on.
    """
    history = publisher.history
    accepted = history.accepted
    if options.recover is not None and not history.gap:
        print(
            f"The log holds what is in force (version {history.version}), so "
            "there is nothing to recover. Publish without --recover.",
            file=sys.stderr,
        )
        return ExitCode.USAGE
    if history.gap and options.recover is None:
        print(
            "The log no longer holds what is in force, and holds no "
            "checkpoint of it. Nothing was published. Nodes that are up "
            "write a checkpoint; try again in a minute. If all nodes were "
            "down, publish with --recover and a version above the last one.",
            file=sys.stderr,
        )
        return ExitCode.FAILURE
    if options.base is not None and options.base != history.version:
        print(
            f"Version {history.version} is in force"
            f"{_describe_publication(history.origin)}, not {options.base}. "
            "Nothing was published. Look at the difference, then publish on "
            "that base.",
            file=sys.stderr,
        )
        return ExitCode.CONFLICT
    if accepted is not None and accepted.text == file.text:
        print(
            f"{path} is in force already as version {accepted.version}"
            f"{_describe_publication(history.origin)}. Nothing was published."
        )
        return ExitCode.SUCCESS
    difference = ConfigurationDifference.between(
        accepted, file.text, file.checked.configuration
    )
    print("\n".join(difference.lines))
    print(f"\nThis publication, on version {history.version},")
    print("\n".join(f"- {line}" for line in difference.summary))
    if options.yes:
        return None
    if not sys.stdin.isatty():
        print(
            "Nothing was published: there is no terminal to ask on. Use --yes "
            "to publish without confirmation.",
            file=sys.stderr,
        )
        return ExitCode.USAGE
    if input("Publish? [y/N] ").strip().lower() not in ("y", "yes"):
        print("Nothing was published.")
        return ExitCode.FAILURE
    return None


def _print_result(path: Path, result: PublishResult) -> ExitCode:
    accepted = result.accepted
    if result.outcome is PublishOutcome.ACCEPTED:
        assert accepted is not None
        print(
            f"accepted as version {accepted.version} "
            f"at offset {accepted.offset} (id {accepted.id})"
        )
        return ExitCode.SUCCESS
    if result.outcome is PublishOutcome.REJECTED:
        version = f" as version {accepted.version}" if accepted else ""
        print(
            f"Another publication was accepted first{version}"
            f"{_describe_publication(accepted)}. Yours (id {result.id}) has no "
            "effect. Look at the difference and publish again.",
            file=sys.stderr,
        )
        return ExitCode.CONFLICT
    print(
        f"The log stopped responding; it is not known whether publication "
        f"{result.id} was accepted. Run the same command again: it tells you "
        f"if {path} is in force, and publishes it only if it is not.",
        file=sys.stderr,
    )
    return ExitCode.PUBLICATION_UNKNOWN


async def _wait_for_nodes(
    address: str, version: int, seconds: float
) -> ExitCode:
    client = FleetClient(TcpNetwork())
    started = trio.current_time()
    fleet: FleetReport | None = None
    reason = "no response in time"
    with trio.move_on_after(seconds):
        while True:
            try:
                fleet = await client.fetch_all(address)
            except RhubarbpaddleError as exc:
                reason = exc.detail
            if fleet and not fleet.list_older_nodes(version):
                break
            await trio.sleep(_POLL_SECONDS)
    if fleet is None:
        print(f"node {address} does not respond: {reason}", file=sys.stderr)
        return ExitCode.NOT_IN_FORCE
    for name, error in sorted(fleet.unreached.items()):
        print(f"NOT REACHED: {name} at {error}", file=sys.stderr)
    behind = fleet.list_older_nodes(version)
    elapsed = trio.current_time() - started
    current = len(fleet.reports) - len(behind)
    print(f"{current} nodes run version {version} after {elapsed:.1f} s")
    for name in behind:
        print(
            f"BEHIND: {name} runs version {fleet.reports[name].version}",
            file=sys.stderr,
        )
    return ExitCode.NOT_IN_FORCE if behind else ExitCode.SUCCESS


def _describe_publication(publication: AcceptedPublication | None) -> str:
    if publication is None:
        return ""
    return (
        f" (by {publication.publisher}, id {publication.id}, "
        f"offset {publication.offset})"
    )


def _get_publisher() -> str:
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = str(os.getuid())
    return f"{user}@{socket.gethostname()}"
