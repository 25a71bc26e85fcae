"""Validates idempotency keys and reads the dates that they contain."""

import hashlib
import uuid
from datetime import datetime, timedelta

from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.outcome import Outcome

FUTURE_TOLERANCE = timedelta(minutes=1)
MAX_KEY_CHARACTERS = 255
_STEP = "check_key"


def check_key(request: Request, service: Service, now: datetime) -> int:
    """Validates the idempotency key of a non-idempotent request.

    Args:
        request: The request; its key is not empty.
        service: The service's settings in the configuration.
        now: The current time.

    Returns:
        The key's date in ms since the epoch, or 0 for an undated key.

    Raises:
        RefusedError: The key is malformed, too old or from the future.
    """
    key_ms = parse_key_date(request.key)
    if key_ms is None:
        if service.undated_keys and len(request.key) <= MAX_KEY_CHARACTERS:
            return 0
        raise RefusedError(
            "key_invalid",
            "the idempotency key is not a UUIDv7",
            step=_STEP,
            status=400,
        )
    age = timedelta(milliseconds=to_ms(now) - key_ms)
    if age < -FUTURE_TOLERANCE:
        raise RefusedError(
            "key_from_future",
            f"the key's date is {-age} ahead of this node's clock",
            step=_STEP,
            status=400,
        )
    if age >= service.claim_window:
        raise RefusedError(
            "key_expired",
            f"the key is {age} old; claims are kept for {service.claim_window}",
            step=_STEP,
            status=409,
            outcome=Outcome.UNKNOWN,
        )
    return key_ms


def parse_key_date(key: str) -> int | None:
    """Returns the date in a UUIDv7 (RFC 9562).

    Returns:
        Milliseconds since the epoch, or None if the key is not a UUIDv7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7 or parsed.variant != uuid.RFC_4122:
        return None
    return parsed.int >> 80


def make_scoped_key(request: Request) -> bytes:
    """Returns the 16-byte digest of organisation, service and key.

    All spellings of a UUID that RFC 9562 permits give the same digest.
    """
    key = request.key
    if parse_key_date(key) is not None:
        key = str(uuid.UUID(key))
    scoped = "\0".join((request.organisation, request.service, key))
    return hashlib.blake2b(scoped.encode(), digest_size=16).digest()


def to_ms(moment: datetime) -> int:
    """Converts a time to milliseconds since the epoch."""
    return int(moment.timestamp() * 1000)
