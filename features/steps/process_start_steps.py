import os
import subprocess
import sys
from pathlib import Path

from behave import then, when
from behave.runner import Context

from rhubarbpaddle.cli.exit_code import ExitCode

_SOURCES = Path(__file__).parents[2] / "src"
# Sends itself the signal at the import of the largest library.
_SCRIPT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "trio":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, Finder())
sys.argv = ["rhubarbpaddle", "platform"]
runpy.run_module("rhubarbpaddle", run_name="__main__", alter_sys=True)
"""


@when("SIGHUP comes while the process loads its libraries")
def step_reload(context: Context) -> None:
    environment = {**os.environ, "PYTHONPATH": str(_SOURCES)}
    environment.pop("RHUBARBPADDLE_SETTINGS", None)
    context.process = subprocess.run(
        [sys.executable, "-c", _SCRIPT],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )


@then("the process goes on to read its settings")
def step_settings_read(context: Context) -> None:
    process = context.process
    assert process.returncode == ExitCode.INVALID_SETTINGS, process.returncode
    assert "RHUBARBPADDLE_SETTINGS is not set" in process.stderr, process.stderr
