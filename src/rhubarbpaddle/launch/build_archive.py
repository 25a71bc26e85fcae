"""Writes the archive of the modules that a node on the platform imports.

The build of `deploy/system.toml` runs `python3 -S -P -m
rhubarbpaddle.launch.build_archive` where the package is installed.
"""

import importlib
import sys

from rhubarbpaddle.launch.archive_path import get_archive_path
from rhubarbpaddle.launch.module_archive import write_archive
from rhubarbpaddle.launch.startup import defer_tls, prevent_library_search

_NODE_MODULE = "rhubarbpaddle.cli.platform_node"


def main() -> None:
    """Imports what a node imports, and writes the code of these modules."""
    prevent_library_search()
    defer_tls()
    importlib.import_module(_NODE_MODULE)
    modules = {}
    for name, module in sorted(sys.modules.items()):
        spec = getattr(module, "__spec__", None)
        if name == "__main__" or spec is None or spec.cached is None:
            continue
        # The standard library replaces some modules' entries in sys.modules
        # by others, which can't be found under these names.
        if spec.name != name:
            continue
        is_package = spec.submodule_search_locations is not None
        modules[name] = (is_package, spec.origin, spec.loader.get_code(name))
    path = get_archive_path()
    write_archive(path, modules)
    print(f"wrote {len(modules)} modules to {path}")


if __name__ == "__main__":
    main()
