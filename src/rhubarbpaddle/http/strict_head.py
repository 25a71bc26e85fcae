"""Rejects request heads that two parsers could interpret differently.

h11 accepts bare line feeds, folded lines and both length headers, as RFC 9112
permits. Another proxy in front of or behind the node may interpret such a head
differently, which enables request smuggling, so they are rejected here.
"""

import re

import h11

from rhubarbpaddle.exceptions import RefusedError

HEAD_END = b"\r\n\r\n"

_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_AMBIGUOUS = re.compile(rb"(?<!\r)\n|\r(?!\n)|\n[ \t]|\0")
_VERSIONS = frozenset({b"1.0", b"1.1"})


def check_partial_head(received: bytes) -> None:
    """Checks the received part of an incomplete head.

    Raises:
        RefusedError: The head can't become valid.
    """
    if _BARE_LINE_FEED.search(received):
        raise make_bad_request("a line does not end with CR LF")


def check_raw_head(head: bytes) -> None:
    """Checks the bytes of a complete head.

    Raises:
        RefusedError: The head contains a bare CR or LF, a folded line or a
            null byte.
    """
    if _AMBIGUOUS.search(head):
        raise make_bad_request("the head has a bare CR or LF or a folded line")


def check_head(head: h11.Request) -> None:
    """Checks a parsed head.

    Raises:
        RefusedError: The length is ambiguous, or the version or the method is
            not supported.
    """
    if head.http_version not in _VERSIONS:
        raise make_bad_request("the HTTP version is not supported", 505)
    if head.method == b"CONNECT":
        raise make_bad_request("CONNECT is not supported", 501)
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names:
        if b"content-length" in names:
            raise make_bad_request(
                "both Content-Length and Transfer-Encoding are given"
            )
        if head.http_version == b"1.0":
            raise make_bad_request("HTTP/1.0 has no Transfer-Encoding")


def make_bad_request(detail: str, status: int = 400) -> RefusedError:
    """Creates the refusal of a malformed request."""
    return RefusedError(
        "bad_request", detail, step="receive_request", status=status
    )
