"""Imports extension modules from the archive without unpacking them.

This module is stored in the archive as `_bootstrap_archive`; the launcher
imports it first.
"""

import os
import sys
import zipimport
from importlib.machinery import ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location

EXTENSIONS_FOLDER = "extensions"
LIBRARIES_FOLDER = "libraries"
# A line for each extension module: its name, then the libraries that it needs
# in the order in which they must be loaded.
EXTENSIONS_INDEX = f"{EXTENSIONS_FOLDER}/index.txt"


class MemoryExtensionFinder:
    """Loads extension modules from anonymous files in memory."""

    def __init__(self, archive: zipimport.zipimporter) -> None:
        self._archive = archive
        self._libraries = {
            name: libraries
            for name, *libraries in read_index(archive, EXTENSIONS_INDEX)
        }
        self._loaded: set[str] = set()

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Returns the spec of an extension module in the archive."""
        if name not in self._libraries:
            return None
        for library in self._libraries[name]:
            self._load_library(library)
        content = self._archive.get_data(
            os.path.join(self._archive.archive, EXTENSIONS_FOLDER, name)
        )
        location = store_in_memory(name, content)
        loader = ExtensionFileLoader(name, location)
        return spec_from_file_location(name, location, loader=loader)

    def _load_library(self, name: str) -> None:
        if name in self._loaded:
            return
        import _launcher

        content = self._archive.get_data(
            os.path.join(self._archive.archive, LIBRARIES_FOLDER, name)
        )
        _launcher.load_library(store_in_memory(name, content))
        self._loaded.add(name)


def read_index(archive: zipimport.zipimporter, index: str) -> list[list[str]]:
    """Returns the words of each line of a text file in the archive."""
    content = archive.get_data(os.path.join(archive.archive, index))
    return [line.split() for line in content.decode().splitlines()]


def store_in_memory(name: str, content: bytes) -> str:
    """Returns the path of an anonymous file with this content.

    The file stays open: the dynamic linker identifies libraries by path, so
    the descriptor must not be reused for another library.
    """
    descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
    with open(descriptor, "wb", closefd=False) as file:
        file.write(content)
    return f"/proc/self/fd/{descriptor}"


def run() -> None:
    """Makes extension modules importable and runs the command line."""
    archive = zipimport.zipimporter(sys.executable)
    sys.meta_path.insert(0, MemoryExtensionFinder(archive))

    from rhubarbpaddle.cli import main

    main()
