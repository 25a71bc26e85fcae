import os
import subprocess
import sys
from pathlib import Path

from behave import then, when
from behave.runner import Context

from rhubarbpaddle.cli.exit_code import ExitCode

_SOURCE_DIR = Path(__file__).parents[2] / "src"
_LARGEST_LIBRARY = "trio"
_FIRST_MODULE = "rhubarbpaddle.launch"
# Sends SIGHUP to its own process when it imports the module that is named.
_SCRIPT = """
import os, runpy, signal, sys

module = sys.argv[1]

class SignallingFinder:
    def find_spec(self, name, path=None, target=None):
        if name == module:
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, SignallingFinder())
sys.argv = ["rhubarbpaddle", "platform"]
runpy.run_module("rhubarbpaddle", run_name="__main__", alter_sys=True)
"""


@when("SIGHUP arrives while the process imports its libraries")
def step_signal_during_imports(context: Context) -> None:
    context.process = _start_with_signal(_LARGEST_LIBRARY)


@when("SIGHUP arrives before the process imports a module of its own")
def step_signal_before_imports(context: Context) -> None:
    context.process = _start_with_signal(_FIRST_MODULE)


def _start_with_signal(module: str) -> "subprocess.CompletedProcess[str]":
    """Starts a process that gets SIGHUP when it imports a module."""
    environment = {**os.environ, "PYTHONPATH": str(_SOURCE_DIR)}
    environment.pop("RHUBARBPADDLE_SETTINGS", None)
    return subprocess.run(
        [sys.executable, "-c", _SCRIPT, module],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )


@then("the process continues and reads its settings")
def step_reads_settings(context: Context) -> None:
    process = context.process
    assert process.returncode == ExitCode.INVALID_SETTINGS, process.returncode
    assert "RHUBARBPADDLE_SETTINGS is not set" in process.stderr, process.stderr
