"""The `node` command: the daemon."""

from pathlib import Path

import trio

from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.node import Node, NodeSettings
from rhubarbpaddle.telemetry import LogOutput


def run_node(settings_path: str) -> ExitCode:
    """Runs a node until it is told to stop.

    Raises:
        SettingsError: The settings are invalid.
    """
    settings = NodeSettings.from_file(Path(settings_path))
    LogOutput.from_level(settings.log_level).install()
    trio.run(Node.from_config(settings).run_until_signal)
    return ExitCode.SUCCESS
