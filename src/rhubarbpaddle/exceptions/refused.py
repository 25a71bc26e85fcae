"""The error of a request that is not answered by an upstream."""

from datetime import timedelta
from typing import TYPE_CHECKING

from rhubarbpaddle.exceptions.base import RhubarbpaddleError
from rhubarbpaddle.outcome import Outcome

if TYPE_CHECKING:
    from rhubarbpaddle.measuring import LoadReport


class RefusedError(RhubarbpaddleError):
    """A request was refused or its outcome can't be known.

    Attributes:
        code: The stable code of the refusal, as the caller sees it.
        status: The HTTP status for the caller.
        outcome: Whether the request truly did not run.
        retry_after: When the caller may try again.
        may_retry: Whether another instance may be tried within this request.
        report: The load of the instance that refused, if it said so.
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
        report: "LoadReport | None" = None,
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.code = code  # type: ignore[misc]
        self.status = status
        self.outcome = outcome
        self.retry_after = retry_after
        self.may_retry = may_retry
        self.report = report
