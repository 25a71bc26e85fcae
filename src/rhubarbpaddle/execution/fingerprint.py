"""Identifies equal requests, so that repeated crashes are recognized."""

import hashlib

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.bytes_body import BytesBody

_DIGEST_BYTES = 16


def make_fingerprint(method: str, target: str, service: str, body: Body) -> str:
    """Returns the digest that identifies equal requests.

    Args:
        method: The HTTP method.
        target: The HTTP request target.
        service: The service that the request is for.
        body: The request's body. Its content is digested if it is in memory,
            otherwise only its length, so that nothing has to be read.

    Returns:
        32 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (method, target, service):
        digest.update(f"{len(field)}:{field}".encode())
    if isinstance(body, BytesBody):
        digest.update(b"content:" + body.content)
    else:
        digest.update(f"length:{body.length}".encode())
    return digest.hexdigest()
