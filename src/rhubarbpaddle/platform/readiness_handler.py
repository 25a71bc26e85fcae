"""The HTTP endpoint for readiness checks and metrics."""

from collections.abc import Callable

import h11

from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.http.request_responder import ShortResponse
from rhubarbpaddle.telemetry import Metrics


class ReadinessHandler:
    """Decides whether the platform may send callers to this node."""

    def __init__(
        self,
        get_configuration: Callable[[], RoutingConfiguration | None],
        metrics: Metrics,
    ) -> None:
        """Creates the handler of a node that is not shutting down.

        Args:
            get_configuration: Returns the configuration in force.
            metrics: The metrics of the node.
        """
        self._get_configuration = get_configuration
        self._metrics = metrics
        self._stopping = False

    def fail(self) -> None:
        """Makes the readiness check fail.

        The instance still runs, so other nodes may send requests to it until
        the node starts to drain.
        """
        self._stopping = True

    async def respond(self, head: h11.Request, content: bytes) -> ShortResponse:
        """Returns the response to a readiness check or a scrape of metrics."""
        if head.target == b"/metrics":
            return (
                200,
                b"text/plain; version=0.0.4",
                await self._metrics.render(),
            )
        if self._stopping:
            return 503, b"text/plain", b"shutting down\n"
        if self._get_configuration() is None:
            return 503, b"text/plain", b"no configuration\n"
        return 200, b"text/plain", b"ready\n"
