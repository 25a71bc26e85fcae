import subprocess
import sys

from behave import then, when
from behave.runner import Context

_TIMEOUT_SECONDS = 90


@when("the soak runs seed {seed:d} with {hosts:d} hosts for {seconds:d} s")
def step_soak(context: Context, seed: int, hosts: int, seconds: int) -> None:
    arguments = ["--hosts", str(hosts), "--seconds", str(seconds)]
    context.process = subprocess.run(
        [sys.executable, "-m", "soak", str(seed), *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=_TIMEOUT_SECONDS,
    )


@then("the run had a roll-out and refusals by key and by usage cap")
def step_rollout_and_refusals(context: Context) -> None:
    _require(context, " rollout_", " 401:", " 429:")


@then("the run had large and pipelined responses")
def step_large_and_pipelined(context: Context) -> None:
    _require(context, " large:", " pipelined:")


def _require(context: Context, *names: str) -> None:
    output = context.process.stdout
    missing = [name for name in names if name not in output]
    assert not missing, (missing, output)


@then("no guarantee was violated and more than {count:d} requests succeeded")
def step_no_violation(context: Context, count: int) -> None:
    output = context.process.stdout
    assert context.process.returncode == 0, output
    succeeded = int(output.partition(" 200:")[2].split()[0])
    assert succeeded > count, output
