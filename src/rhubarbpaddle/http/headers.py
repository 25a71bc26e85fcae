"""Header functions of an HTTP proxy."""

from collections.abc import Iterable

from rhubarbpaddle.execution import Headers

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


VIA = (b"via", b"1.1 rhubarbpaddle")


def get_header(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def remove_hop_by_hop(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the end-to-end headers (RFC 9110, section 7.6.1)."""
    received = list(headers)
    connection_options = {
        token.strip().lower()
        for key, value in received
        if key == b"connection"
        for token in value.split(b",")
    }
    removed = _HOP_BY_HOP | connection_options
    return [(key, value) for key, value in received if key not in removed]
