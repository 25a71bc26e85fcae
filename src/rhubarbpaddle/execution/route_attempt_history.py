"""The tries of one routed request."""

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.outcome import Outcome

_SLOW_CODE = "instance_slow"
# Refused by the node beside an instance, which will be able to serve soon.
_TEMPORARY_CODES = frozenset(
    {
        "instance_cold",
        "instance_failing",
        "instance_full",
        _SLOW_CODE,
    }
)


class RouteAttemptHistory:
    """What the tries of a request have shown so far.

    Attributes:
        attempts: Tries that have reached an instance.
        may_have_run: Whether one of them may have run.
        excluded: Node ids that the next try must not use.
        busy: Node ids whose instance could serve the request later.
        full_count: How many of them have too much work; the others are slow.
        queued: Node ids at which it was refused a place in the queue.
        refusal: Why the last try failed.
    """

    def __init__(self, service: str) -> None:
        self.attempts = 0
        self.may_have_run = False
        self.excluded: set[str] = set()
        self.busy: set[str] = set()
        self.full_count = 0
        self.queue_refused: set[str] = set()
        self.refusal = RefusedError(
            "no_instance",
            f"no instance of {service!r} takes work",
            step="route",
        )

    def record_failure(
        self, node_id: str, refusal: RefusedError, could_queue: bool
    ) -> None:
        """Notes that the try at an instance failed.

        Args:
            node_id: The node beside the instance.
            refusal: Why it failed.
            could_queue: Whether the request was permitted to wait there.
        """
        self.excluded.add(node_id)
        if could_queue:
            self.queue_refused.add(node_id)
        elif refusal.code in _TEMPORARY_CODES:
            self.busy.add(node_id)
            self.full_count += refusal.code != _SLOW_CODE
        if not never_reached_instance(refusal):
            self.attempts += 1
        if refusal.outcome is Outcome.UNKNOWN:
            self.may_have_run = True
        self.refusal = refusal


def never_reached_instance(refusal: RefusedError) -> bool:
    """Returns whether a refused try has not reached the instance."""
    return refusal.outcome is Outcome.NOT_RUN and refusal.step != "run_request"
