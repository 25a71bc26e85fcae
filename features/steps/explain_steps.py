import contextlib
import io
import json
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from rhubarbpaddle.cli.main import main

_START = "time=2026-01-21T16:44:12"
_LOGS = {
    "h1": [
        f"{_START}.120000Z level=NOTICE part=caller event=request_refused "
        "request_id=af81 service=s status=502 code=upstream_lost "
        'step=run_request peer=h2 detail="connection lost"',
        "not a line of a node",
        f"{_START}.010000Z level=INFO part=gateway event=try_failed "
        "request_id=af81 route=r instance=i-1 attempts=0 outcome=not-run "
        "left_ms=900 code=instance_slow step=admit peer=h3 "
        'detail="slowdown factor 5.0"',
        f"{_START}.110000Z level=NOTICE part=gateway event=try_failed "
        "request_id=af81 route=r instance=i-2 attempts=1 outcome=unknown "
        'left_ms=800 code=upstream_lost step=run_request detail="lost"',
    ],
    "h2": [
        f"{_START}.090000Z level=INFO part=caller event=request_answered "
        "request_id=af81.01 service=t status=200 ms=20",
        f"{_START}.080000Z level=INFO part=gateway event=try_answered "
        "request_id=af81.01 route=q instance=i-3 status=200 attempts=1",
        f"{_START}.050000Z level=NOTICE part=door event=instance_failed "
        "request_id=af81 service=s outcome=unknown code=upstream_lost "
        'step=run_request peer=- detail="connection lost"',
        f"{_START}.060000Z level=INFO part=caller event=request_answered "
        "request_id=af82 service=t status=200 ms=20",
    ],
}


@given("logs of two hosts with a booking that made a call and was refused")
def step_write_logs(context: Context) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.logs = []
    for host, lines in _LOGS.items():
        path = Path(folder.name) / f"{host}.log"
        path.write_text("\n".join(lines) + "\n")
        context.logs.append(path)


@given("the log of the host that took it is missing")
def step_remove_log(context: Context) -> None:
    del context.logs[0]


@when('the command "{command}" runs on the logs')
def step_run_on_logs(context: Context, command: str) -> None:
    _run(context, [*command.split(), *map(str, reversed(context.logs))], "")


@when('the logs are joined and the command "{command}" reads them')
def step_run_on_input(context: Context, command: str) -> None:
    joined = "".join(
        f"  12.3456 {path.stem} {line}\n"
        for path in context.logs
        for line in path.read_text().splitlines()
    )
    _run(context, command.split(), joined)


def _run(context: Context, arguments: list[str], stdin: str) -> None:
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        mock.patch("sys.stdin", io.StringIO(stdin)),
    ):
        try:
            main(arguments)
        except SystemExit as exc:
            context.exit_code = exc.code
    context.output = output.getvalue()


@then("it exits with {code:d} and prints these lines in this order")
def step_check_lines(context: Context, code: int) -> None:
    assert context.exit_code == code, (context.exit_code, context.output)
    position = 0
    for row in context.table:
        found = context.output.find(row["line"], position)
        assert found >= 0, (row["line"], context.output)
        position = found + len(row["line"])


@then('the JSON has {count:d} lines of hosts "{hosts}" and {calls:d} call')
def step_check_json(
    context: Context, count: int, hosts: str, calls: int
) -> None:
    document = json.loads(context.output)
    assert len(document["lines"]) == count, document
    found = {line["host"] for line in document["lines"]}
    assert found == set(hosts.split(", ")), found
    assert len(document["calls"]) == calls
