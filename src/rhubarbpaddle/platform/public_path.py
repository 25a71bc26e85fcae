"""Checks whether a path that matches a public route needs a key."""

import re

_SEPARATOR = r"(?:/|\\|%2f|%5c)"
# Instances may decode a segment, and remove parameters behind a semicolon,
# before they resolve it.
_PARENT_SEGMENT = re.compile(
    rf"{_SEPARATOR}(?:\.|%2e){{2}}(?:;[^/\\]*)?(?:{_SEPARATOR}|$)",
    re.IGNORECASE,
)


def is_below_prefix(target: str) -> bool:
    """Returns whether a target stays below the prefix that it begins with.

    A parent segment (`..`) may lead out of it once the instance resolves it.
    """
    return _PARENT_SEGMENT.search(target.partition("?")[0]) is None
