import os
import subprocess
import sys
from pathlib import Path

from behave import then, when
from behave.runner import Context

from rhubarbpaddle.cli.exit_code import ExitCode

_SOURCE_DIR = Path(__file__).parents[2] / "src"
# Sends SIGHUP to its own process when the largest library is imported.
_SCRIPT = """
import os, runpy, signal, sys

class SignallingFinder:
    def find_spec(self, name, path=None, target=None):
        if name == "trio":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, SignallingFinder())
sys.argv = ["rhubarbpaddle", "platform"]
runpy.run_module("rhubarbpaddle", run_name="__main__", alter_sys=True)
"""


@when("SIGHUP arrives while the process imports its libraries")
def step_start_with_signal(context: Context) -> None:
    environment = {**os.environ, "PYTHONPATH": str(_SOURCE_DIR)}
    environment.pop("RHUBARBPADDLE_SETTINGS", None)
    context.process = subprocess.run(
        [sys.executable, "-c", _SCRIPT],
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
