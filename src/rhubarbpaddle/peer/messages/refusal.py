"""A call that gets no answer from the upstream."""

import msgspec

from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.outcome import Outcome


class Refusal(msgspec.Struct, array_like=True, tag="refusal", frozen=True):
    """The call was refused, or its outcome can't be known.

    Attributes:
        request_id: The request that is refused.
        code: The stable code of the refusal.
        detail: The reason, for a person.
        step: The step at which it arose on the sidecar.
        status: The HTTP status for the caller.
        outcome: Whether the request truly did not run.
        retry_after_ms: Milliseconds after which a retry makes sense.
        may_retry: Whether another instance may be tried.
        report: The load of the instance.
    """

    request_id: str
    code: str
    detail: str
    step: str
    status: int
    outcome: Outcome
    retry_after_ms: int
    may_retry: bool
    report: LoadReport | None
