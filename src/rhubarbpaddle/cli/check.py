"""The `check` command, which validates a configuration file."""

import json
import random
import sys
from pathlib import Path

import trio

from rhubarbpaddle.cli.check_options import CheckOptions
from rhubarbpaddle.cli.check_report import CheckReport
from rhubarbpaddle.cli.document_check import check_document
from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.cli.fleet_client import FleetClient
from rhubarbpaddle.cli.publisher import Publisher
from rhubarbpaddle.cli.text_check import check_configuration_text
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.exceptions import (
    ConfigurationError,
    LogUnavailableError,
    RhubarbpaddleError,
)
from rhubarbpaddle.log import HttpLogClient
from rhubarbpaddle.membership import UpstreamState
from rhubarbpaddle.platform.configuration_draft import parse_draft
from rhubarbpaddle.system_clock import SystemClock
from rhubarbpaddle.tcp_network import TcpNetwork

_SERVING_STATES = (UpstreamState.COLD, UpstreamState.WARM)


def check_file(path: Path, options: CheckOptions) -> ExitCode:
    """Checks a configuration file and prints what was found.

    Returns:
        0 if it is valid, 3 if it is not, 8 if it is valid and has findings
        that matter; 1 if a file can't be read or a node does not respond, 2 if
        the options don't fit the file, 5 if the log does not respond.
    """
    texts: list[str] = []
    for file in (path, options.against):
        try:
            texts.append(file.read_text(encoding="utf-8") if file else "")
        except OSError as exc:
            return _fail(f"{file}: {exc.strerror}", ExitCode.FAILURE)
        except ValueError as exc:
            return _fail(
                f"{file}: not UTF-8 text: {exc}", ExitCode.INVALID_TEXT
            )
    text, base_text = texts
    is_document = _is_document(text)
    if is_document and (options.log_address or options.node_address):
        return _fail(
            f"{path}: the log and nodes are read for the product's text only",
            ExitCode.USAGE,
        )
    try:
        if is_document:
            report = check_document(
                str(path),
                text,
                str(options.against or ""),
                parse_draft(base_text) if options.against else None,
            )
        else:
            report = _check_text(path, text, base_text, options)
    except ConfigurationError as exc:
        return _fail(
            f"{options.against}: can't be compared with: {exc.detail}",
            ExitCode.FAILURE,
        )
    except LogUnavailableError as exc:
        return _fail(
            f"The log at {options.log_address} does not respond"
            f" ({exc.detail}). {path} was not checked.",
            ExitCode.LOG_UNREACHABLE,
        )
    except RhubarbpaddleError as exc:
        return _fail(
            f"node {options.node_address} does not respond: {exc.detail}",
            ExitCode.FAILURE,
        )
    _print_report(report, as_json=options.as_json)
    return report.get_exit_code(strict=options.strict)


def _check_text(
    path: Path, text: str, base_text: str, options: CheckOptions
) -> CheckReport:
    base_name, base = "", None
    if options.against:
        base_name = str(options.against)
        base = AcceptedConfiguration.from_text(0, base_text, 0)
    elif options.log_address:
        base = _read_accepted(options)
        base_name = f"version {base.version if base else 0}"
    upstreams = None
    if options.node_address:
        upstreams = _read_upstreams(options.node_address)
    return check_configuration_text(str(path), text, base_name, base, upstreams)


def _read_accepted(options: CheckOptions) -> AcceptedConfiguration | None:
    """Returns the configuration in force, None if there is none.

    Raises:
        LogUnavailableError: The log does not respond, or it no longer holds
            the configuration in force.
    """
    publisher = Publisher(
        HttpLogClient(TcpNetwork(), options.log_address),
        SystemClock(),
        random.Random(),
        options.retry_timeout,
    )
    trio.run(publisher.read)
    if publisher.history.gap:
        raise LogUnavailableError(
            "the log no longer holds what is in force",
            step="read_configuration",
            peer=options.log_address,
        )
    return publisher.history.accepted


def _read_upstreams(address: str) -> set[tuple[str, str]]:
    """Returns the zone and the service of each upstream that serves.

    Raises:
        RhubarbpaddleError: The node, or one of its members, does not respond.
    """
    fleet = trio.run(FleetClient(TcpNetwork()).fetch_all, address)
    if fleet.unreached:
        raise RhubarbpaddleError(
            f"members not reached: {', '.join(sorted(fleet.unreached))}",
            step="read_upstreams",
            peer=address,
        )
    documents = [report.document for report in fleet.reports.values()]
    return {
        (str(document.get("availability_zone")), str(document.get("service")))
        for document in documents
        if document.get("upstream_state") in _SERVING_STATES
    }


def _is_document(text: str) -> bool:
    """Returns whether a file has the form of the platform's document."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        return False
    return isinstance(document, dict) and "resources" in document


def _print_report(report: CheckReport, *, as_json: bool) -> None:
    if as_json:
        print(json.dumps(report.make_document(), indent=2))
        return
    for line in report.iter_problems():
        print(line, file=sys.stderr)
    for line in report.iter_results():
        print(line)


def _fail(message: str, code: ExitCode) -> ExitCode:
    print(message, file=sys.stderr)
    return code
