"""The refusal of a request whose caller has disconnected."""

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.outcome import Outcome


def make_caller_left_refusal(
    step: str, may_have_run: bool = False
) -> RefusedError:
    """Returns the refusal, which also prevents further attempts.

    Args:
        step: The step that was skipped because the caller disconnected.
        may_have_run: Whether an instance may have run the request.
    """
    return RefusedError(
        "caller_left",
        "the caller closed its connection before this step",
        step=step,
        status=502 if may_have_run else 503,
        outcome=Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
    )
