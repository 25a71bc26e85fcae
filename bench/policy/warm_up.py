"""Warms up all upstreams before a measurement."""

import random

import trio

from bench.policy.deployment import SERVICE, Deployment
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import BytesBody, Request
from rhubarbpaddle.execution.gateway import Gateway
from rhubarbpaddle.membership import UpstreamState

# More callers than slots, because the ramp raises the limit only while it is
# reached.
_CALLERS_PER_SLOT = 1.2
_MIN_SECONDS = 0.3
_MAX_SECONDS = 30.0
_SETTLE_SECONDS = 0.2
_RETRY_SECONDS = 0.002
_TIMEOUT_SECONDS = 0.25


class WarmUp:
    """Runs callers in a closed loop until all upstreams are warm."""

    def __init__(
        self,
        deployment: Deployment,
        gateways: dict[str, Gateway],
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._gateways = gateways
        self._rng = rng
        self._warmed_up = trio.Event()

    async def run(self) -> None:
        """Sends load until all are warm, then waits for requests in flight.

        Raises:
            RuntimeError: An instance did not become warm in time.
        """
        size = self._deployment.size
        caller_count = int(_CALLERS_PER_SLOT * size.instances * size.slots)
        names = list(self._gateways)
        with trio.move_on_after(_MAX_SECONDS) as scope:
            async with trio.open_nursery() as nursery:
                for index in range(caller_count):
                    gateway = self._gateways[names[index % len(names)]]
                    nursery.start_soon(self._call, gateway)
                await trio.sleep(_MIN_SECONDS)
                await self._warmed_up.wait()
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught:
            raise RuntimeError("the upstreams did not become warm in time")
        await trio.sleep(_SETTLE_SECONDS)

    def _is_warm(self) -> bool:
        reports = [
            host.sidecar.get_report()
            for host in self._deployment.get_upstream_hosts()
        ]
        return all(
            report is not None
            and report.state is UpstreamState.WARM
            and report.limit == self._deployment.size.slots
            for report in reports
        )

    async def _call(self, gateway: Gateway) -> None:
        mean_seconds = self._deployment.size.mean_work_seconds
        while True:
            request = Request(
                request_id="r",
                tenant="warm-up",
                service=SERVICE,
                method="GET",
                target=repr(self._rng.gammavariate(4.0, mean_seconds / 4.0)),
                headers=[],
                deadline=trio.current_time() + _TIMEOUT_SECONDS,
                idempotent=True,
            )
            try:
                async with gateway.handle(request, BytesBody(b"")):
                    if self._is_warm():
                        self._warmed_up.set()
            except RefusedError:
                await trio.sleep(_RETRY_SECONDS)
