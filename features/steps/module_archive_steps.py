import json
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

_SOURCES = Path("src/rhubarbpaddle")
_SCRIPT = """
import gc, json, sys
from rhubarbpaddle.launch.prepare_import import finish_import, prepare_import
prepare_import()
was_collecting = gc.isenabled()
from rhubarbpaddle.launch.startup import defer_tls, prevent_library_search
prevent_library_search()
defer_tls()
import rhubarbpaddle.cli.platform_node
finish_import()
loaders = {
    name: type(module.__spec__.loader).__name__
    for name, module in sys.modules.items()
    if getattr(module, "__spec__", None) is not None
}
print(json.dumps([loaders, was_collecting, gc.isenabled()]))
"""


@given("an installed copy of the package with an archive of its modules")
def step_install(context: Context) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    root = Path(folder.name)
    shutil.copytree(_SOURCES, root / "rhubarbpaddle")
    context.archive = root / "rhubarbpaddle.modules"
    context.environment = {**os.environ, "PYTHONPATH": str(root)}
    _run(context, "-m", "rhubarbpaddle.launch.build_archive")
    assert context.archive.exists()


@given("the archive was written by another version of the interpreter")
def step_change_version(context: Context) -> None:
    content = bytearray(context.archive.read_bytes())
    content[3] ^= 1
    context.archive.write_bytes(content)


@given("the archive ends after {size:d} bytes")
def step_truncate(context: Context, size: int) -> None:
    context.archive.write_bytes(context.archive.read_bytes()[:size])


@when("the copy imports the node of the platform")
def step_import(context: Context) -> None:
    output = _run(context, "-c", _SCRIPT)
    context.loaders, context.was_collecting, context.collects = json.loads(
        output
    )


@then("most of its modules come from the archive")
def step_check_used(context: Context) -> None:
    loaders = list(context.loaders.values())
    archived = loaders.count("ArchiveFinder")
    assert archived > 0.7 * len(loaders), (archived, len(loaders))


@then("extension modules come from their files")
def step_check_extensions(context: Context) -> None:
    loader = context.loaders["msgspec._core"]
    assert loader == "ExtensionFileLoader", loader


@then("OpenTelemetry is not imported")
def step_check_deferred(context: Context) -> None:
    names = [n for n in context.loaders if n.startswith("opentelemetry")]
    assert not names, names


@then("garbage is collected again once the node runs")
def step_check_collection(context: Context) -> None:
    assert not context.was_collecting
    assert context.collects


@then("no module comes from the archive")
def step_check_unused(context: Context) -> None:
    assert "ArchiveFinder" not in context.loaders.values()


def _run(context: Context, *arguments: str) -> str:
    finished = subprocess.run(
        [sys.executable, *arguments],
        env=context.environment,
        capture_output=True,
        check=True,
        text=True,
    )
    return finished.stdout
