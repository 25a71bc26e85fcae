import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import urllib.request
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from demo.deployment import reserve_ports
from demo.process_group import wait_for_http

_ROOT = Path(__file__).parents[2]
_START_SECONDS = 20.0
# clone creates a thread with CLONE_THREAD and a process without it.
_NEW_PROCESS = re.compile(
    r"\b(fork|vfork|execve)\(|clone3?\((?!.*CLONE_THREAD)"
)
_WRITABLE_OPEN = re.compile(r"open(at)?\(.*O_(WRONLY|RDWR|CREAT)")


@given("the built executable, copied to an empty folder")
def step_build(context: Context) -> None:
    subprocess.run([sys.executable, "-m", "binary"], check=True, cwd=_ROOT)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    shutil.copy(_ROOT / "dist" / "rhubarbpaddle", context.folder)


@when("it runs a node under strace with an empty environment")
def step_run_node(context: Context) -> None:
    caller, peer, admin, log = (
        f"127.0.0.1:{port}" for port in reserve_ports(4)
    )
    settings = {
        "cluster": "test",
        "secret": "a-secret-of-the-test-cluster",
        "node_id": "n1",
        "host": "h1",
        "availability_zone": "a",
        "caller_address": caller,
        "peer_address": peer,
        "admin_address": admin,
        "log_address": log,
    }
    (context.folder / "node.json").write_text(json.dumps(settings))
    trace = context.folder / "trace"
    command = ["strace", "-f", "-e", "trace=%process,%file,kill"]
    command += ["-o", str(trace), "env", "-i", "./rhubarbpaddle"]
    process = subprocess.Popen(
        [*command, "node", "node.json"],
        cwd=context.folder,
        stderr=subprocess.DEVNULL,
    )
    try:
        url = f"http://{admin}/healthz"
        wait_for_http(url, _START_SECONDS)
        with urllib.request.urlopen(url) as response:
            context.health = response.status
        context.ignored = _read_ignored_signals(trace)
        pid = int(trace.read_text().split(maxsplit=1)[0])
        os.kill(pid, signal.SIGTERM)
        context.exit_code = process.wait(_START_SECONDS)
    finally:
        process.kill()
    lines = trace.read_text().splitlines()
    # strace starts env, which execs the executable.
    exec_call = 'execve("./rhubarbpaddle"'
    start = next(i for i, line in enumerate(lines) if exec_call in line)
    context.trace = lines[start + 1 :]


@then("the node passes its health check")
def step_check_health(context: Context) -> None:
    assert context.health == 200


@then("the trace shows no child process")
def step_check_no_child(context: Context) -> None:
    found = [line for line in context.trace if _NEW_PROCESS.search(line)]
    assert not found, found


@then("the trace shows no file opened for writing")
def step_check_no_file(context: Context) -> None:
    found = [line for line in context.trace if _WRITABLE_OPEN.search(line)]
    assert not found, found


@then("a write to a closed connection does not end it")
def step_check_sigpipe(context: Context) -> None:
    assert context.ignored & 1 << signal.SIGPIPE - 1, hex(context.ignored)


@then("it ends with exit code {code:d} on SIGTERM")
def step_check_exit_code(context: Context, code: int) -> None:
    assert context.exit_code == code, context.exit_code


def _read_ignored_signals(trace: Path) -> int:
    """Returns the mask of the signals that the traced process ignores."""
    pid = trace.read_text().split(maxsplit=1)[0]
    status = Path(f"/proc/{pid}/status").read_text()
    mask = next(
        line for line in status.splitlines() if line.startswith("SigIgn:")
    )
    return int(mask.split()[1], 16)
