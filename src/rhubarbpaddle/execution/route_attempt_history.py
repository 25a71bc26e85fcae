"""The history of the attempts for one routed request."""

from collections.abc import Iterable

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.routing.reported_wait import ReportedWait

# Once this many instances have refused immediate service because they were
# full, or because they were busy for any reason, the request is queued. A full
# instance will have capacity soon, so that further attempts take longer than
# waiting in its queue. An instance in a slow period may stay slow for 0.5 s.
_MAX_FULL_INSTANCES = 2
_MAX_BUSY_INSTANCES = 5
# Queues that may refuse the request before the gateway refuses it.
_MAX_QUEUE_REFUSALS = 3
_SLOW_CODE = "instance_slow"
# Code of the refusal of a queued request whose organisation lost a key. It says
# nothing about the instance, so that the request may be sent there again.
KEYS_CHANGED_CODE = "keys_changed"
# Codes of refusals by a node whose instance can probably serve soon.
_TEMPORARY_CODES = frozenset(
    {
        "instance_cold",
        "instance_failing",
        "instance_full",
        _SLOW_CODE,
    }
)


class RouteAttemptHistory:
    """Collects the results of the attempts for a request.

    Attributes:
        sent: The number of attempts.
        attempts: The number of attempts that reached an instance.
        may_have_run: Whether one of them may have run the request.
        excluded: Node ids that the next attempt must not use.
        busy: Node ids whose instance may be able to serve the request later.
        full_count: The number of busy instances that have too much work; the
            others are slow.
        refused_queues: Node ids that did not admit the request to their queue.
        own_queue_refused: Whether one of them is in the own zone.
        waits: The waits at the busy instances, by node id.
        refusal: Why the last attempt failed, or `no_instance` before the first.
    """

    def __init__(self, service: str) -> None:
        self.sent = 0
        self.attempts = 0
        self.may_have_run = False
        self.excluded: set[str] = set()
        self.busy: set[str] = set()
        self.full_count = 0
        self.refused_queues: set[str] = set()
        self.own_queue_refused = False
        self.waits: dict[str, ReportedWait] = {}
        self.refusal = RefusedError(
            "no_instance",
            f"no instance of {service!r} accepts requests",
            step="route",
        )

    @property
    def may_try_more(self) -> bool:
        """Whether more instances are tried before the request is queued."""
        return self.full_count < _MAX_FULL_INSTANCES and self.may_try_busy

    @property
    def may_try_busy(self) -> bool:
        """Whether more instances are tried if full ones don't count."""
        return len(self.busy) < _MAX_BUSY_INSTANCES

    @property
    def may_queue(self) -> bool:
        """Whether another queue is tried."""
        return len(self.refused_queues) < _MAX_QUEUE_REFUSALS

    @property
    def is_last_queue(self) -> bool:
        """Whether no queue is tried after the next one."""
        return len(self.refused_queues) == _MAX_QUEUE_REFUSALS - 1

    def get_excluded_queues(self) -> set[str]:
        """Returns the node ids at which the request must not be queued."""
        return (self.excluded - self.busy) | self.refused_queues

    def discard_waits(self, node_ids: Iterable[str]) -> None:
        """Forgets the waits at instances that must not be chosen again.

        Args:
            node_ids: The nodes beside these and other instances.
        """
        for node_id in node_ids:
            self.waits.pop(node_id, None)

    def record_failure(
        self, node_id: str, refusal: RefusedError, could_queue: bool
    ) -> None:
        """Records that the attempt at an instance failed.

        Args:
            node_id: The node beside the instance.
            refusal: Why it failed.
            could_queue: Whether the request was permitted to queue there.
        """
        self.sent += 1
        self.refusal = refusal
        if refusal.code == KEYS_CHANGED_CODE:
            return
        self.excluded.add(node_id)
        if could_queue:
            self.refused_queues.add(node_id)
        elif refusal.code in _TEMPORARY_CODES:
            self.busy.add(node_id)
            self.full_count += refusal.code != _SLOW_CODE
        if not never_reached_instance(refusal):
            self.attempts += 1
        if refusal.outcome is Outcome.UNKNOWN:
            self.may_have_run = True


def never_reached_instance(refusal: RefusedError) -> bool:
    """Returns whether a refused attempt never reached the instance."""
    return refusal.outcome is Outcome.NOT_RUN and refusal.step != "run_request"
