"""Creates the refusal of a request without a known key."""

from rhubarbpaddle.exceptions import RefusedError


def make_unknown_key_refusal() -> RefusedError:
    """Creates the refusal, which does not contain the key."""
    return RefusedError(
        "unknown_key",
        "no organisation holds the key of the request",
        step="authorize",
        status=401,
    )
