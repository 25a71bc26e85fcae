"""A module that is imported when one of its names is first used."""

import importlib
import sys
from importlib.machinery import ModuleSpec
from types import ModuleType


class DeferredModule(ModuleType):
    """Stands for a module in `sys.modules` until it is used.

    `importlib.util.LazyLoader` does not serve here: the second import
    statement for the module already loads it.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.__spec__ = ModuleSpec(name, None)

    def __getattr__(self, name: str) -> object:
        # The import system asks for dunder names that modules may lack.
        if name.startswith("__"):
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(importlib.import_module(self.__name__), name)
