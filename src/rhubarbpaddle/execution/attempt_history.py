"""The history of the attempts for one request."""

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.outcome import Outcome

_FULL_CODE = "no_free_slot"


class AttemptHistory:
    """Collects the results of the attempts for a request.

    Attributes:
        count: The number of attempts that were sent.
        excluded: Node ids that the next attempt must not use.
        may_have_run: Whether an attempt may have run the request.
        refusal: Why the last attempt failed, or `no_instance` before the first.
        must_queue: Whether the next attempts must permit queueing, because no
            other instance can be tried.
    """

    def __init__(self, service: str) -> None:
        self.count = 0
        self.excluded: set[str] = set()
        self.may_have_run = False
        self.refusal = RefusedError(
            "no_instance",
            f"no instance of {service!r} accepts requests",
            step="route",
        )
        self.must_queue = False
        self._full_nodes: set[str] = set()

    def record_start(self, node_id: str) -> None:
        """Records the start of an attempt at an instance."""
        self.count += 1
        self.excluded.add(node_id)

    def record_failure(
        self, node_id: str, refusal: RefusedError, could_queue: bool
    ) -> None:
        """Records that the attempt at an instance failed.

        Args:
            node_id: The node beside the instance.
            refusal: Why it failed.
            could_queue: Whether the request was permitted to queue there.
        """
        # An earlier attempt may have run even if the last one did not.
        if self.may_have_run:
            refusal.outcome = Outcome.UNKNOWN
        self.may_have_run = refusal.outcome is Outcome.UNKNOWN
        self.refusal = refusal
        if refusal.code == _FULL_CODE and not could_queue:
            self._full_nodes.add(node_id)

    def readmit_full_nodes(self) -> bool:
        """Makes the instances that refused as full eligible again.

        Each of them becomes eligible again at most once.

        Returns:
            Whether there were any such instances.
        """
        if not self._full_nodes:
            return False
        self.excluded -= self._full_nodes
        self._full_nodes.clear()
        self.must_queue = True
        return True
