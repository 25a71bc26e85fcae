"""What the process must not do."""

import ctypes.util
import sys
from types import ModuleType
from typing import cast

from rhubarbpaddle.cli.deferred_module import DeferredModule


def prevent_library_search() -> None:
    """Keeps libraries from searching for shared libraries.

    `ctypes.util.find_library` runs `ldconfig`, and trio calls it on import to
    name its threads. A node must not start another process.
    """
    ctypes.util.find_library = _find_no_library


def _find_no_library(name: str) -> None:
    return None


def defer_tls() -> None:
    """Keeps OpenSSL out of the process until TLS is used.

    trio imports `ssl` when it is itself imported, and `hashlib` prefers
    OpenSSL's digests over the interpreter's own. A node uses neither TLS nor a
    digest that the interpreter lacks.
    """
    # The import system raises ImportError for a module that is None here;
    # hashlib and hmac then use the interpreter's own digests.
    sys.modules.setdefault("_hashlib", cast(ModuleType, None))
    sys.modules.setdefault("ssl", DeferredModule("ssl"))
