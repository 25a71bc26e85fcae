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


@then("no promise was broken and more than {count:d} requests were answered")
def step_kept(context: Context, count: int) -> None:
    output = context.process.stdout
    assert context.process.returncode == 0, output
    answered = int(output.partition(" 200:")[2].split()[0])
    assert answered > count, output
