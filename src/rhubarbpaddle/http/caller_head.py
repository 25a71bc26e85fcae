"""Parses the headers of callers' requests."""

import re
from typing import NamedTuple, Self

import h11

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Headers
from rhubarbpaddle.http.headers import VIA, get_header, remove_hop_by_hop
from rhubarbpaddle.http.strict_head import make_bad_request

# The design allows chains of 25 calls, so deeper ones can only be loops.
_MAX_DEPTH = 100
_MAX_NAME_LENGTH = 128
_NO_TIMEOUT_MS = 10**9
_NUMBER = re.compile(r"[0-9]{1,9}")
# Read here and not forwarded; the upstream client writes new ones.
_CONTROL_HEADERS = frozenset(
    {
        b"content-length",
        b"expect",
        b"rhubarbpaddle-attempt",
        b"rhubarbpaddle-depth",
        b"rhubarbpaddle-timeout-ms",
    }
)


class CallerHead(NamedTuple):
    """Holds the parsed head of a caller's request.

    Attributes:
        service: The service's name.
        organisation: The organisation's name.
        method: The HTTP method.
        target: The request target in origin form, or `*`.
        headers: The headers to forward, names in lower case.
        timeout_ms: The caller's timeout in milliseconds; 10**9 if it sent
            none.
        attempt: The number of the attempt; 1 unless a node earlier in the
            chain has retried.
        depth: The number of calls in the chain above this request.
        key: The idempotency key, or the empty string.
    """

    service: str
    organisation: str
    method: str
    target: str
    headers: Headers
    timeout_ms: int
    attempt: int
    depth: int
    key: str

    @classmethod
    def from_head(cls, head: h11.Request, address: str) -> Self:
        """Parses the headers of a request.

        Args:
            head: The head as parsed by h11.
            address: The caller's IP address.

        Raises:
            RefusedError: A header that the node reads is invalid, or the call
                chain is too deep.
        """
        received = remove_hop_by_hop(head.headers)
        host = get_header(received, b"host") or ""
        target = head.target.decode("ascii")
        if target[:1] not in ("/", "*"):
            host, target = _split_absolute_target(target)
            received = [
                (name, host.encode() if name == b"host" else value)
                for name, value in received
            ]
        service = (
            get_header(received, b"rhubarbpaddle-service")
            or (host.partition(":")[0].partition(".")[0])
        )
        depth = _parse_number(received, b"rhubarbpaddle-depth", 0)
        if depth > _MAX_DEPTH:
            raise RefusedError(
                "too_deep",
                f"more than {_MAX_DEPTH} calls deep",
                step="receive_request",
                status=508,
            )
        return cls(
            service=service,
            organisation=_parse_name(
                received, b"rhubarbpaddle-tenant", "default"
            ),
            method=head.method.decode("ascii"),
            target=target,
            headers=_add_forwarding_headers(received, address),
            timeout_ms=_parse_number(
                received, b"rhubarbpaddle-timeout-ms", _NO_TIMEOUT_MS
            ),
            attempt=max(
                _parse_number(received, b"rhubarbpaddle-attempt", 1), 1
            ),
            depth=depth,
            key=_parse_name(received, b"idempotency-key", ""),
        )


def _split_absolute_target(target: str) -> tuple[str, str]:
    scheme, separator, rest = target.partition("://")
    host, slash, path = rest.partition("/")
    if not separator or scheme.lower() not in ("http", "https") or not host:
        raise make_bad_request("the form of the request target is unknown")
    return host, slash + path if slash else "/"


def _add_forwarding_headers(received: Headers, address: str) -> Headers:
    forwarded = [
        (name, value)
        for name, value in received
        if name not in _CONTROL_HEADERS and name != b"x-forwarded-for"
    ]
    hops = [value for name, value in received if name == b"x-forwarded-for"]
    hops.append(address.encode())
    forwarded.append((b"x-forwarded-for", b", ".join(hops)))
    if not any(name == b"x-forwarded-proto" for name, _ in received):
        forwarded.append((b"x-forwarded-proto", b"http"))
    forwarded.append(VIA)
    return forwarded


def _parse_number(headers: Headers, name: bytes, default: int) -> int:
    value = get_header(headers, name)
    if value is None:
        return default
    if not _NUMBER.fullmatch(value):
        raise make_bad_request(f"{name.decode()} is not a whole number")
    return int(value)


def _parse_name(headers: Headers, name: bytes, default: str) -> str:
    values = [value for key, value in headers if key == name]
    if not values:
        return default
    value = values[0].decode("latin-1")
    if (
        len(values) > 1
        or not 0 < len(value) <= _MAX_NAME_LENGTH
        or not value.isascii()
    ):
        raise make_bad_request(f"{name.decode()} is invalid")
    return value
