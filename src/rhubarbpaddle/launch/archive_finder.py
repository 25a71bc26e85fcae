"""Imports modules from a module archive."""

import sys
from collections.abc import Sequence
from importlib.machinery import ModuleSpec
from types import CodeType, ModuleType
from typing import TYPE_CHECKING, cast

from rhubarbpaddle.launch.module_archive import ModuleArchive

if TYPE_CHECKING:
    from importlib.abc import Loader


class ArchiveFinder:
    """A finder and loader for the modules of one archive.

    Modules that are not in the archive, such as extension modules, are left to
    the finders that follow on `sys.meta_path`.
    """

    def __init__(self, archive: ModuleArchive) -> None:
        self._archive = archive

    def install(self) -> None:
        """Puts the finder before the one that searches `sys.path`."""
        sys.meta_path.insert(-1, self)

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None = None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Implements `importlib.abc.MetaPathFinder`."""
        entry = self._archive.get_entry(name)
        if entry is None:
            return None
        spec = ModuleSpec(
            name,
            # Deriving from the base class would import importlib.abc.
            cast("Loader", self),
            origin=entry.origin,
            is_package=entry.is_package,
        )
        spec.has_location = True
        if spec.submodule_search_locations is not None:
            spec.submodule_search_locations.append(
                entry.origin.rpartition("/")[0]
            )
        return spec

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Implements `importlib.abc.Loader`: modules are created as usual."""
        return None

    def exec_module(self, module: ModuleType) -> None:
        """Implements `importlib.abc.Loader`."""
        exec(self.get_code(module.__name__), module.__dict__)

    def get_code(self, name: str) -> CodeType:
        """Implements `importlib.abc.InspectLoader`."""
        return self._archive.read_code(name)
