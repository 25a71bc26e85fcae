"""The refusal of a request whose response body could not be read."""

from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.outcome import Outcome


def make_failed_body_refusal(exc: RhubarbpaddleError) -> RefusedError:
    """Returns the refusal to send if the response's head was not sent yet.

    The request has run at least in part.

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
