"""Prevents imports from starting processes and from loading OpenSSL."""

import ctypes.util
import sys
from types import ModuleType
from typing import cast

from rhubarbpaddle.launch.deferred_module import DeferredModule


def prevent_library_search() -> None:
    """Replaces `ctypes.util.find_library`, which runs `ldconfig`.

    trio calls it on import, in order to name its threads. A node must not start
    another process.
    """
    ctypes.util.find_library = _find_library_stub


def _find_library_stub(name: str) -> None:
    return None


def defer_tls() -> None:
    """Prevents OpenSSL from being loaded until TLS is used.

    trio imports `ssl` on import, and `hashlib` prefers OpenSSL's digests to the
    interpreter's own. A node uses neither TLS nor a digest that the interpreter
    lacks.
    """
    # The import system raises ImportError for a module that is None in
    # sys.modules; hashlib and hmac then use the interpreter's own digests.
    sys.modules.setdefault("_hashlib", cast(ModuleType, None))
    sys.modules.setdefault("ssl", DeferredModule("ssl"))
