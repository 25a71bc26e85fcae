import subprocess
import sys

from behave import then, when
from behave.runner import Context

_SCRIPT = """
import sys
from rhubarbpaddle.launch.startup import defer_tls, prevent_library_search
prevent_library_search()
defer_tls()
import rhubarbpaddle.cli.node
def print_loaded():
    with open("/proc/self/maps") as maps:
        print("_ssl" in sys.modules, "libcrypto" in maps.read())
print_loaded()
import ssl
assert isinstance(ssl.create_default_context(), ssl.SSLContext)
print_loaded()
"""


@when("a process defers TLS and imports the node")
def step_import_node(context: Context) -> None:
    finished = subprocess.run(
        [sys.executable, "-c", _SCRIPT],
        capture_output=True,
        check=True,
        text=True,
    )
    context.before, context.after = finished.stdout.splitlines()


@then("OpenSSL is not loaded")
def step_check_not_loaded(context: Context) -> None:
    assert context.before == "False False", context.before


@then("it is loaded once a TLS context is created")
def step_check_loaded(context: Context) -> None:
    assert context.after.startswith("True"), context.after
