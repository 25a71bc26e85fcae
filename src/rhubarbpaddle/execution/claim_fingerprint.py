"""Fingerprints that tell whether two requests with one key are equal."""

import hashlib

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.buffered_body import BufferedBody
from rhubarbpaddle.execution.request import Request

MAX_DIGESTED_BYTES = 64 * 1024


async def buffer_for_digest(body: Body) -> Body:
    """Returns a body whose bytes are known if it is sized and short enough.

    Args:
        body: A body of which nothing has been read.

    Raises:
        TruncatedError: The body ended before it was whole.
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

    A body that is chunked or exceeds 64 KiB counts by its length only,
    because it must stay unread until an instance admits the request.
    """
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{request.method}\0{request.target}\0".encode())
    if isinstance(body, BytesBody | BufferedBody):
        digest.update(b"body\0" + body.content)
    else:
        digest.update(f"length\0{body.length}".encode())
    return digest.digest()
