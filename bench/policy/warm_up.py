"""Load that makes upstreams warm before a measurement."""

import random

import trio

from bench.policy.deployment import SERVICE, Deployment
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import BytesBody, Request
from rhubarbpaddle.execution.gateway import Gateway
from rhubarbpaddle.membership import UpstreamState

# More callers than slots, since the ramp only learns from full steps.
_CALLERS_PER_SLOT = 1.2
_MIN_SECONDS = 0.3
_MAX_SECONDS = 30.0
_SETTLE_SECONDS = 0.2
_RETRY_SECONDS = 0.002
_TIMEOUT = 0.25


class WarmUp:
    """Callers in a closed loop, until each admission is warm."""

    def __init__(
        self,
        deployment: Deployment,
        gateways: dict[str, Gateway],
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._gateways = gateways
        self._rng = rng
        self._warm = trio.Event()

    async def run(self) -> None:
        """Sends load, then waits until nothing is in flight.

        Raises:
            RuntimeError: An instance did not get warm.
        """
        size = self._deployment.size
        count = int(_CALLERS_PER_SLOT * size.instances * size.slots)
        names = list(self._gateways)
        with trio.move_on_after(_MAX_SECONDS) as scope:
            async with trio.open_nursery() as nursery:
                for index in range(count):
                    gateway = self._gateways[names[index % len(names)]]
                    nursery.start_soon(self._call, gateway)
                await trio.sleep(_MIN_SECONDS)
                await self._warm.wait()
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught:
            raise RuntimeError("the upstreams did not get warm")
        await trio.sleep(_SETTLE_SECONDS)

    def _is_warm(self) -> bool:
        reports = [
            host.sidecar.get_report()
            for host in self._deployment.get_instances()
        ]
        return all(
            report is not None
            and report.state is UpstreamState.WARM
            and report.limit == self._deployment.size.slots
            for report in reports
        )

    async def _call(self, gateway: Gateway) -> None:
        mean = self._deployment.size.work
        while True:
            request = Request(
                request_id="r",
                tenant="warm-up",
                service=SERVICE,
                method="GET",
                target=repr(self._rng.gammavariate(4.0, mean / 4.0)),
                headers=[],
                deadline=trio.current_time() + _TIMEOUT,
                idempotent=True,
            )
            try:
                async with gateway.handle(request, BytesBody(b"")):
                    if self._is_warm():
                        self._warm.set()
            except RefusedError:
                await trio.sleep(_RETRY_SECONDS)
