"""Limits the processor time that one connection can make the node use."""

import trio

# Eight connections that use their share take a fifth of a core, half of what a
# node has in deployments in use.
_SHARE = 0.025
# A connection may save up its share for this much work, so that a burst of
# requests or messages is served without a wait.
_MAX_SAVED_SECONDS = 0.02


class WorkShare:
    """Counts the work that one connection causes, and says when it must wait.

    Work is counted in estimated seconds of processor time, by what was read.
    Measured time would also contain that of other processes, so that a
    connection would wait longer on a busy machine.
    """

    def __init__(self) -> None:
        self._saved_seconds = _MAX_SAVED_SECONDS
        self._counted_at = 0.0

    def charge(self, seconds: float, now: float) -> None:
        """Counts work.

        Args:
            seconds: The estimated processor time.
            now: The time, in seconds.
        """
        earned = (now - self._counted_at) * _SHARE
        saved = min(_MAX_SAVED_SECONDS, self._saved_seconds + earned)
        self._saved_seconds = saved - seconds
        self._counted_at = now

    def get_wait(self, now: float) -> float:
        """Returns how long the connection must wait before its next work.

        Args:
            now: The time, in seconds.
        """
        ready_at = self._counted_at - self._saved_seconds / _SHARE
        return max(0.0, ready_at - now)

    async def wait(self) -> None:
        """Lets other tasks run, until the next work may be done.

        May be called again if it was cancelled.
        """
        await trio.sleep(self.get_wait(trio.current_time()))

    async def pass_checkpoint(self, seconds: float) -> None:
        """Counts work and waits until the next work may be done.

        Args:
            seconds: The estimated processor time.
        """
        self.charge(seconds, trio.current_time())
        await self.wait()
