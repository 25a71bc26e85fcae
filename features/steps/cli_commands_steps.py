import contextlib
import io
import json
import os
import tempfile
import time
import urllib.request
from pathlib import Path
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from demo.deployment import (
    make_nodes,
    reserve_ports,
    write_configuration,
    write_settings,
)
from demo.process_group import ProcessGroup, wait_for_http
from rhubarbpaddle.cli.main import main


def get_folder(context: Context) -> Path:
    if not hasattr(context, "folder"):
        folder = tempfile.TemporaryDirectory(prefix="rhubarbpaddle-")
        context.add_cleanup(folder.cleanup)
        context.folder = Path(folder.name)
        context.addresses = {}
    return context.folder


@given('the file "{name}" with the text "{text}"')
def step_write_file(context: Context, name: str, text: str) -> None:
    (get_folder(context) / name).write_text(text)


@given('the file "{name}" with an unknown key')
def step_write_unknown_key(context: Context, name: str) -> None:
    text = (
        '{ "availability_zones": { "a": {} },\n'
        '  "services": { "lanes": { /* limits */   "slotz": 6 } } }'
    )
    step_write_file(context, name, text)


@given('the file "{name}" with all zones in service')
def step_write_all_zones(context: Context, name: str) -> None:
    write_configuration(get_folder(context), None).rename(context.folder / name)


@given('the file "{name}" with zone "{zone}" out of service')
def step_write_zone_out(context: Context, name: str, zone: str) -> None:
    write_configuration(get_folder(context), zone).rename(context.folder / name)


def wait_for_members(admins: list[str], seconds: float) -> None:
    """Waits until each node knows all nodes."""
    deadline = time.monotonic() + seconds
    for admin in admins:
        known = 0
        while known < len(admins):
            assert time.monotonic() < deadline, f"{admin} knows {known}"
            time.sleep(0.05)
            with urllib.request.urlopen(f"http://{admin}/status") as response:
                known = len(json.load(response)["members"])


@given("a running log and 3 running nodes")
def step_start_nodes(context: Context) -> None:
    folder = get_folder(context)
    log = f"127.0.0.1:{reserve_ports(1)[0]}"
    context.group = ProcessGroup(folder)
    context.add_cleanup(context.group.stop_all)
    context.group.start("log", "standins", "log", log)
    admins: list[str] = []
    for node in make_nodes()[:3]:
        path = str(write_settings(node, log, folder))
        context.group.start(node.name, "rhubarbpaddle", "node", path)
        wait_for_http(f"http://{node.admin_address}/healthz", 20)
        admins.append(node.admin_address)
    wait_for_members(admins, 20)
    context.addresses = {"LOG": log, "NODE": node.admin_address}


@when('node "{name}" is stopped')
def step_stop_node(context: Context, name: str) -> None:
    context.group.stop(name)


class Terminal(io.StringIO):
    def isatty(self) -> bool:
        return True


@when('the operator answers "{answer}" to the command "{command}"')
def step_run_with_answer(context: Context, answer: str, command: str) -> None:
    run_command(context, command, Terminal(f"{answer}\n"))


@when('the command "{command}" runs')
def step_run_command(context: Context, command: str) -> None:
    run_command(context, command, io.StringIO())


def run_command(context: Context, command: str, stdin: io.StringIO) -> None:
    folder = get_folder(context)
    arguments = [context.addresses.get(word, word) for word in command.split()]
    output, errors = io.StringIO(), io.StringIO()
    context.exit_code = 0
    environment = {**os.environ, "HOME": str(folder), "COLUMNS": "200"}
    with (
        contextlib.chdir(folder),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
        mock.patch.dict(os.environ, environment),
        mock.patch("sys.stdin", stdin),
    ):
        try:
            main(arguments)
        except SystemExit as exc:
            context.exit_code = exc.code or 0
    context.output = output.getvalue()
    context.printed = context.output + errors.getvalue()


@then('it exits with {code:d} and prints "{printed}"')
def step_check_exit(context: Context, code: int, printed: str) -> None:
    assert context.exit_code == code, (context.exit_code, context.printed)
    step_check_printed(context, printed)


@then('it prints "{printed}"')
def step_check_printed(context: Context, printed: str) -> None:
    assert printed in context.printed, context.printed


@then("it printed one line")
def step_check_one_line(context: Context) -> None:
    assert context.printed.count("\n") == 1, context.printed


@then("it prints JSON with {count:d} nodes at version {version:d}")
def step_check_json(context: Context, count: int, version: int) -> None:
    document = json.loads(context.output)
    versions = [node["version"] for node in document["nodes"].values()]
    assert versions == [version] * count, document
