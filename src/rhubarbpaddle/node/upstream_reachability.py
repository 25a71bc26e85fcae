"""Checks whether the upstream accepts connections."""

import trio

from rhubarbpaddle.network import Network

# The connection to a crashed process is refused immediately. A timeout is not
# counted as a crash: the upstream may just be slow.
_CONNECT_TIMEOUT_SECONDS = 0.25


class UpstreamReachability:
    """Checks by a connection attempt whether one upstream is running."""

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    async def is_open(self) -> bool:
        """Opens and closes a connection without sending a request.

        Returns:
            False if the connection failed; True if it was opened or timed out.
        """
        try:
            with trio.move_on_after(_CONNECT_TIMEOUT_SECONDS):
                stream = await self._network.connect(self._address)
                await trio.aclose_forcefully(stream)
        except OSError:
            return False
        return True
