"""The tries of one request."""

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.outcome import Outcome

_FULL = "no_free_slot"


class TryHistory:
    """What the tries of a request have shown so far.

    Attributes:
        count: How many tries were sent.
        excluded: Node ids that the next try must not use.
        may_have_run: Whether a try may have run.
        refusal: Why the last try failed.
        must_queue: Whether no instance is left that could be asked without
            queueing.
    """

    def __init__(self, service: str) -> None:
        self.count = 0
        self.excluded: set[str] = set()
        self.may_have_run = False
        self.refusal = RefusedError(
            "no_instance",
            f"no instance of {service!r} takes work",
            step="route",
        )
        self.must_queue = False
        self._full: set[str] = set()

    def start(self, node_id: str) -> None:
        """Notes a try at an instance."""
        self.count += 1
        self.excluded.add(node_id)

    def fail(
        self, node_id: str, refusal: RefusedError, could_queue: bool
    ) -> None:
        """Notes that the try at an instance failed.

        Args:
            node_id: The node beside the instance.
            refusal: Why it failed.
            could_queue: Whether the request was permitted to wait there.
        """
        # An earlier try may have run, whatever the last one says.
        if self.may_have_run:
            refusal.outcome = Outcome.UNKNOWN
        self.may_have_run = refusal.outcome is Outcome.UNKNOWN
        self.refusal = refusal
        if refusal.code == _FULL and not could_queue:
            self._full.add(node_id)

    def readmit_full(self) -> bool:
        """Permits instances that were only full, once.

        Returns:
            Whether there were any.
        """
        if not self._full:
            return False
        self.excluded -= self._full
        self._full.clear()
        self.must_queue = True
        return True
