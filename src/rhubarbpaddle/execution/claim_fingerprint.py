"""Fingerprints that detect different requests with the same key."""

import hashlib

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.buffered_body import BufferedBody
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.request import Request

MAX_DIGESTED_BYTES = 64 * 1024


async def buffer_for_digest(body: Body) -> Body:
    """Reads a body of known and small length into memory.

    Args:
        body: A body from which nothing has been read.

    Returns:
        The buffered body. A body that is in memory already, chunked or longer
        than `MAX_DIGESTED_BYTES` is returned as it is.

    Raises:
        TruncatedError: The body ended before it was complete.
    """
    if (
        isinstance(body, BytesBody)
        or body.length is None
        or body.length > MAX_DIGESTED_BYTES
    ):
        return body
    content = bytearray()
    while part := await body.receive():
        content += part
    return BufferedBody(bytes(content))


def make_claim_fingerprint(request: Request, body: Body) -> bytes:
    """Returns a 16-byte digest of method, target and body.

    Only the length of a body that is chunked or exceeds 64 KiB is digested,
    because such a body must stay unread until an instance admits the request.
    """
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{request.method}\0{request.target}\0".encode())
    if isinstance(body, BytesBody | BufferedBody):
        digest.update(b"body\0" + body.content)
    else:
        digest.update(f"length\0{body.length}".encode())
    return digest.digest()
