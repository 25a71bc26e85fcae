"""The refusal of a request whose deadline has passed."""

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.outcome import Outcome


def make_deadline_refusal(
    may_have_run: bool, not_run_status: int = 504
) -> RefusedError:
    """Returns the refusal that a gateway raises after the deadline.

    Args:
        may_have_run: Whether an instance may have run the request.
        not_run_status: The HTTP status to use if no instance has run it.
    """
    return RefusedError(
        "deadline_exceeded",
        "the deadline passed without a response",
        step="route",
        status=504 if may_have_run else not_run_status,
        outcome=Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
    )
