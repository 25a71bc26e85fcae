"""The `platform` command, which runs a node on the users' platform."""

import sys

import trio

from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.exceptions import SettingsError
from rhubarbpaddle.launch.prepare_import import finish_import
from rhubarbpaddle.platform.node import PlatformNode
from rhubarbpaddle.telemetry import LogOutput

_LOG_LEVEL = "info"


def run_platform_node() -> ExitCode:
    """Runs a node until a signal stops it.

    Returns:
        The exit code: 75 if the shutdown ended before all work did; 64 if the
        settings are invalid, in which case one printed line names the field.
    """
    LogOutput.from_level(_LOG_LEVEL, sys.stdout).install()
    try:
        node = PlatformNode.from_environment()
    except SettingsError as exc:
        print(f"rhubarbpaddle: {exc.peer}: {exc.detail}", file=sys.stderr)
        return ExitCode.INVALID_SETTINGS
    finish_import()
    completed = trio.run(node.run_until_signal)
    return ExitCode.SUCCESS if completed else ExitCode.FORCED_STOP
