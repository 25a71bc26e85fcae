"""The error of a request that gets no response from an upstream."""

from datetime import timedelta
from typing import TYPE_CHECKING

from rhubarbpaddle.exceptions.base import RhubarbpaddleError
from rhubarbpaddle.outcome import Outcome

if TYPE_CHECKING:
    from rhubarbpaddle.measuring import LoadReport


class RefusedError(RhubarbpaddleError):
    """A request was refused, or its outcome is unknown.

    Attributes:
        code: The stable code of the refusal, which is sent to the caller.
        status: The HTTP status for the caller.
        outcome: Whether it is certain that the request did not run.
        retry_after: After how long the caller may send the request again.
        may_retry: Whether another attempt may be made on another instance.
            The request's body has not been read, or is in memory.
        may_resend: Whether another attempt may be made if the whole body can
            be sent once more.
        report: The load of the instance that refused, if it reported it.
        expected_wait: Seconds until the request would probably have started if
            it had been queued, or 0 if that is unknown.
    """

    def __init__(
        self,
        code: str,
        detail: str,
        *,
        step: str,
        peer: str = "-",
        status: int = 503,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: timedelta = timedelta(seconds=1),
        may_retry: bool = False,
        may_resend: bool = False,
        report: "LoadReport | None" = None,
        expected_wait: float = 0.0,
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.code = code  # type: ignore[misc]
        self.status = status
        self.outcome = outcome
        self.retry_after = retry_after
        self.may_retry = may_retry
        self.may_resend = may_retry or may_resend
        self.report = report
        self.expected_wait = expected_wait
