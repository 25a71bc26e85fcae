"""A placeholder that imports a module when it is first used."""

import importlib
import sys
from importlib.machinery import ModuleSpec
from types import ModuleType


class DeferredModule(ModuleType):
    """Represents a module in `sys.modules` until one of its names is used.

    `importlib.util.LazyLoader` is not suitable: the second import statement
    for a module already loads it.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.__spec__ = ModuleSpec(name, None)

    def __getattr__(self, name: str) -> object:
        # The import system reads dunder attributes that modules may lack;
        # that must not load the module.
        if name.startswith("__"):
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(importlib.import_module(self.__name__), name)
