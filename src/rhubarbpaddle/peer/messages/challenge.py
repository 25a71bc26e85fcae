"""Message that starts the handshake between two nodes."""

import msgspec


class Challenge(msgspec.Struct, array_like=True, tag="challenge", frozen=True):
    """Requests proof that the connecting node knows the secret.

    Attributes:
        nonce: Random bytes that the proof's HMAC must include.
    """

    nonce: bytes
