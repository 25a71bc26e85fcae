"""The product's own header conventions for upstreams."""

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
    """Reads `rhubarbpaddle-outcome`; the sidecar writes the other headers."""

    def make_headers(
        self, request: Request, remaining_seconds: float
    ) -> Headers:
        """Returns a copy of the request's headers."""
        return list(request.headers)

    def get_body_seconds(self, remaining_seconds: float) -> float:
        """Returns infinity: the deadline applies to the response's head only.

        A caller that does not want the rest of a long response disconnects.
        """
        return math.inf

    def is_response_to(
        self, request: Request, headers: RawHeaders, *, on_new_connection: bool
    ) -> bool:
        """Returns True, since responses of this dialect carry no request id."""
        return True

    def parse_refusal(
        self, status: int, headers: RawHeaders
    ) -> timedelta | None:
        """Returns the retry delay if a 503 reports that nothing ran.

        The delay is 1 s if `Retry-After` is missing or is not a number.
        """
        received = list(headers)
        outcome = get_header(received, b"rhubarbpaddle-outcome")
        if status != 503 or outcome != Outcome.NOT_RUN:
            return None
        seconds = get_header(received, b"retry-after") or ""
        if not _RETRY_AFTER.fullmatch(seconds):
            seconds = "1"
        return timedelta(seconds=int(seconds))

    def parse_load(self, headers: RawHeaders) -> InstanceReading | None:
        """Returns None, since responses of this dialect contain no load."""
        return None

    def parse_health(self, headers: RawHeaders) -> InstanceReading | None:
        """Returns None, since responses of this dialect name no instance."""
        return None


PRODUCT_DIALECT = ProductUpstreamDialect()
