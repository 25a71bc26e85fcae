"""The `node` command, which runs a node."""

import socket
import sys
from pathlib import Path

import trio

from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.exceptions import SettingsError
from rhubarbpaddle.network import split_address
from rhubarbpaddle.node.node import Node
from rhubarbpaddle.node.settings import NodeSettings
from rhubarbpaddle.telemetry import LogOutput


def run_node(settings_path: str) -> ExitCode:
    """Runs a node until a signal stops it.

    Returns:
        The exit code: 75 if the shutdown ended before all work did; 64 if the
        settings are invalid or one of the node's own addresses can't be bound,
        in which case one printed line names the field.
    """
    try:
        settings = NodeSettings.from_file(Path(settings_path))
        for field in ("caller_address", "peer_address", "admin_address"):
            _check_bindable(field, getattr(settings, field), settings_path)
    except SettingsError as exc:
        print(f"rhubarbpaddle: {exc.peer}: {exc.detail}", file=sys.stderr)
        return ExitCode.INVALID_SETTINGS
    LogOutput.from_level(settings.log_level).install()
    completed = trio.run(Node.from_config(settings).run_until_signal)
    return ExitCode.SUCCESS if completed else ExitCode.FORCED_STOP


def _check_bindable(field: str, address: str, path: str) -> None:
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
            # With SO_REUSEADDR, Linux lets several sockets bind an address but
            # only one of them listen on it.
            sock.listen(1)
        except OSError as exc:
            raise SettingsError(
                f"{field}: cannot listen on {address}: {exc.strerror}",
                step="bind",
                peer=path,
            ) from exc
