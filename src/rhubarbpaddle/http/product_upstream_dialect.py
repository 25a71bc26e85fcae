"""The product's own headers towards upstreams."""

import math
import re
from datetime import timedelta

from rhubarbpaddle.execution import Headers, Request
from rhubarbpaddle.http.headers import get_header
from rhubarbpaddle.http.upstream_dialect import RawHeaders
from rhubarbpaddle.measuring.instance_reading import InstanceReading
from rhubarbpaddle.outcome import Outcome

_RETRY_AFTER = re.compile(r"[0-9]{1,6}")


class ProductUpstreamDialect:
    """Reads `rhubarbpaddle-outcome`; the sidecar has written the rest."""

    def make_headers(self, request: Request, time_left: float) -> Headers:
        """Returns the request's headers as they are."""
        return list(request.headers)

    def get_body_seconds(self, time_left: float) -> float:
        """Returns infinity: the deadline is that of the answer's head.

        A caller that does not want the rest of a long answer leaves.
        """
        return math.inf

    def is_answer(self, request: Request, headers: RawHeaders) -> bool:
        """Returns True; answers of this dialect bear no id."""
        return True

    def read_refusal(
        self, status: int, headers: RawHeaders
    ) -> timedelta | None:
        """Returns when to come back if a 503 says that nothing ran."""
        received = list(headers)
        outcome = get_header(received, b"rhubarbpaddle-outcome")
        if status != 503 or outcome != Outcome.NOT_RUN:
            return None
        seconds = get_header(received, b"retry-after") or ""
        if not _RETRY_AFTER.fullmatch(seconds):
            seconds = "1"
        return timedelta(seconds=int(seconds))

    def read_load(self, headers: RawHeaders) -> InstanceReading | None:
        """Returns None; answers of this dialect name no load."""
        return None


PRODUCT_DIALECT = ProductUpstreamDialect()
