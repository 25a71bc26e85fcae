"""The result of a run."""

from typing import NamedTuple


class Result(NamedTuple):
    """The figures of one policy in one scenario at one deployment size.

    Attributes:
        p50: The median latency of quiet tenants' successful requests, in
            seconds.
        p99: The 99th percentile of it.
        p999: The 99.9th percentile of it.
        refused: The share of quiet tenants' requests that did not succeed.
        goodput: Successful requests per second of all tenants.
        withdrawal: The share of requests during the withdrawal that succeeded.
        tries: The mean number of attempts per request.
        measuring: The share of upstream time that probes took.
        noisy_p99: The 99th percentile for the noisy tenant, in seconds, or 0.
        noisy_refused: The share of the noisy tenant's requests that did not
            succeed.
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
