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


@then("no guarantee was violated and more than {count:d} requests succeeded")
def step_no_violation(context: Context, count: int) -> None:
    output = context.process.stdout
    assert context.process.returncode == 0, output
    succeeded = int(output.partition(" 200:")[2].split()[0])
    assert succeeded > count, output
