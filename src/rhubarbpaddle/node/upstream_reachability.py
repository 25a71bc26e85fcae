"""Tries to connect to the upstream."""

import trio

from rhubarbpaddle.network import Network

# A crashed process refuses at once; a slow one is not taken for crashed.
_CONNECT_TIMEOUT_SECONDS = 0.25


class UpstreamReachability:
    """Opens a connection to one upstream and closes it again."""

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    async def is_open(self) -> bool:
        """Opens a connection and closes it; sends no request."""
        try:
            with trio.move_on_after(_CONNECT_TIMEOUT_SECONDS):
                stream = await self._network.connect(self._address)
                await trio.aclose_forcefully(stream)
        except OSError:
            return False
        return True
