"""The product's own header conventions for callers."""

import secrets
from collections.abc import Callable

import h11

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Headers, Request
from rhubarbpaddle.http.caller_head import CallerHead
from rhubarbpaddle.http.headers import VIA
from rhubarbpaddle.http.problem import make_problem

_REQUEST_ID_BYTES = 8
_OTHER_ORGANISATION = "other"


class ProductCallerDialect:
    """Implements the headers and problem details of `docs/callers.md`."""

    def __init__(
        self,
        clock: Clock,
        get_accepted: Callable[[], AcceptedConfiguration | None],
    ) -> None:
        self._clock = clock
        self._get_accepted = get_accepted

    def get_request_id(self, head: h11.Request) -> str:
        """Returns a new random id; callers of this dialect send none."""
        return secrets.token_hex(_REQUEST_ID_BYTES)

    def make_request(
        self, head: h11.Request, address: str, request_id: str
    ) -> Request:
        """Creates the request that a head represents."""
        accepted = self._get_accepted()
        if accepted is None:
            raise RefusedError(
                "not_ready", "no configuration is in force", step="route"
            )
        caller_head = CallerHead.from_head(head, address)
        service = accepted.configuration.services.get(caller_head.service)
        if service is None:
            raise RefusedError(
                "unknown_service",
                f"there is no service {caller_head.service!r}",
                step="route",
                status=404,
            )
        timeout = min(
            service.timeout.total_seconds(), caller_head.timeout_ms / 1000
        )
        return Request(
            request_id=request_id,
            organisation=caller_head.organisation,
            service=caller_head.service,
            method=caller_head.method,
            target=caller_head.target,
            headers=caller_head.headers,
            deadline=self._clock.monotonic() + timeout,
            idempotent=service.is_idempotent(
                caller_head.method, caller_head.target
            ),
            key=caller_head.key,
            attempt=caller_head.attempt,
            depth=caller_head.depth,
        )

    def make_refusal(
        self, exc: RefusedError, request_id: str
    ) -> tuple[int, Headers, bytes]:
        """Creates a response with problem details (RFC 9457)."""
        headers, content = make_problem(exc, request_id)
        return exc.status, headers, content

    def get_metrics_label(self, request: Request) -> str:
        """Returns the organisation, or `other` if it is not configured.

        This bounds the number of labels, since callers choose the names.
        """
        accepted = self._get_accepted()
        if (
            accepted
            and request.organisation in accepted.configuration.organisations
        ):
            return request.organisation
        return _OTHER_ORGANISATION

    def get_response_headers(self) -> Headers:
        """Returns the `Via` header."""
        return [VIA]
