"""The refusal sent when a response body fails before its head is sent."""

from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.outcome import Outcome


def make_failed_body_refusal(exc: RhubarbpaddleError) -> RefusedError:
    """Returns the refusal of a request that has run at least in part.

    Args:
        exc: Why the body could not be read.
    """
    return RefusedError(
        "upstream_lost",
        f"the response's body failed: {exc.detail}",
        step=exc.step,
        peer=exc.peer,
        status=502,
        outcome=Outcome.UNKNOWN,
    )
