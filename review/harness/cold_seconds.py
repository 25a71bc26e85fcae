"""Counts the requests that a cold instance got."""

from harness.deployment import COLD_PER_SECOND, Deployment
from harness.machine import BOUNDS

# The bound of the rule FAILBACK, in requests of any one second.
COLD_BOUND = COLD_PER_SECOND * BOUNDS["coldMultiplier"] + BOUNDS["coldSlack"]


def count_most_in_a_second(
    deployment: Deployment, cold_at: float, warm_at: float
) -> int:
    """Returns the most requests that were sent and arrived in one second.

    Args:
        deployment: The deployment, with one instance that was cold.
        cold_at: When it became cold, in seconds of the record.
        warm_at: When it was warm again.
    """
    sent_at = {
        answer.request_id: answer.sent_at
        for machine in deployment.machines
        for answer in machine.requester.answers
    }
    # A request that has no answer yet has arrived only just before.
    pairs = [
        (run.at, sent_at.get(run.request_id, run.at))
        for run in deployment.runs
        if cold_at <= run.at < warm_at
    ]
    return max(
        (
            sum(1 for at, sent in pairs if at <= end and sent >= end - 1.0)
            for end, _ in pairs
        ),
        default=0,
    )
