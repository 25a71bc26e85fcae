"""Describes protocol errors without the bytes that were received."""

import re

import h11

# h11 appends the offending line to its message, as a literal.
_RECEIVED_BYTES = re.compile(r":? (?:bytearray\()?b['\"].*", re.DOTALL)


def describe_protocol_error(exc: h11.ProtocolError) -> str:
    """Returns what is wrong, for logs and responses.

    The received line is left out, because it may hold a caller's key.
    """
    return _RECEIVED_BYTES.sub("", str(exc))
