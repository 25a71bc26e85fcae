"""What a run gave."""

from typing import NamedTuple


class Result(NamedTuple):
    """The figures of one policy in one scene at one size.

    Attributes:
        p50: Median latency of quiet tenants' answers, in seconds.
        p99: 99th percentile, in seconds.
        p999: 99.9th percentile, in seconds.
        refused: Share of quiet tenants' requests without a good answer.
        goodput: Good answers per second, all tenants.
        withdrawal: Good answers per request during the withdrawal.
        tries: Tries per request.
        measuring: Share of upstream time that probes took.
        noisy_p99: 99th percentile of the noisy tenant, in seconds, or 0.
        noisy_refused: Share of the noisy tenant's requests without a good
            answer.
    """

    p50: float
    p99: float
    p999: float
    refused: float
    goodput: float
    withdrawal: float
    tries: float
    measuring: float
    noisy_p99: float
    noisy_refused: float
