"""What the process must not do."""

import ctypes.util


def prevent_library_search() -> None:
    """Keeps libraries from searching for shared libraries.

    `ctypes.util.find_library` runs `ldconfig`, and trio calls it on import to
    name its threads. A node must not start another process.
    """
    ctypes.util.find_library = _find_no_library


def _find_no_library(name: str) -> None:
    return None
