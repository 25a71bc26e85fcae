"""The tries of one request."""

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.outcome import Outcome

_FULL_CODE = "no_free_slot"


class AttemptHistory:
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
        self._full_nodes: set[str] = set()

    def record_start(self, node_id: str) -> None:
        """Notes a try at an instance."""
        self.count += 1
        self.excluded.add(node_id)

    def record_failure(
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
        if refusal.code == _FULL_CODE and not could_queue:
            self._full_nodes.add(node_id)

    def readmit_full_nodes(self) -> bool:
        """Permits instances that were only full, once.

        Returns:
            Whether there were any.
        """
        if not self._full_nodes:
            return False
        self.excluded -= self._full_nodes
        self._full_nodes.clear()
        self.must_queue = True
        return True
