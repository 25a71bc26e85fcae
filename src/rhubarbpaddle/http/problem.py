"""Encodes refusals as problem details (RFC 9457)."""

import json
import math

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Headers

_TYPE_PREFIX = "urn:rhubarbpaddle:problem:"


def make_problem(
    refusal: RefusedError, request_id: str
) -> tuple[Headers, bytes]:
    """Creates the headers and the JSON body of a refusal's response."""
    document = {
        "type": _TYPE_PREFIX + refusal.code,
        "title": refusal.code.replace("_", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "code": refusal.code,
        "outcome": refusal.outcome.value,
        "request_id": request_id,
        "step": refusal.step,
    }
    content = json.dumps(document).encode() + b"\n"
    retry_after = math.ceil(refusal.retry_after.total_seconds())
    headers = [
        (b"server", b"rhubarbpaddle"),
        (b"content-type", b"application/problem+json"),
        (b"rhubarbpaddle-outcome", refusal.outcome.value.encode()),
    ]
    if refusal.status in (429, 503):
        headers.append((b"retry-after", str(retry_after).encode()))
    return headers, content
