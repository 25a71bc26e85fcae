"""Message that ends a call without a response from the upstream."""

import msgspec

from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.outcome import Outcome


class Refusal(msgspec.Struct, array_like=True, tag="refusal", frozen=True):
    """Reports that a call was refused or that its outcome is unknown.

    Attributes:
        request_id: The id of the refused request.
        code: The stable error code.
        detail: A human-readable reason.
        step: The processing step on the sidecar at which the call failed.
        status: The HTTP status for the caller.
        outcome: Whether the request is known not to have run.
        retry_after_ms: Milliseconds to wait before a retry.
        may_retry: Whether the gateway may try another instance.
        report: The load of the instance, or None if not known.
        may_resend: Whether the gateway may try another instance if it can send
            the whole body once more. Nodes of earlier versions omit it.
        wait_ms: Milliseconds until the request would probably have started if
            it had been queued, or 0 if that is unknown.
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
    may_resend: bool = False
    wait_ms: int = 0
