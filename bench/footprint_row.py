"""The footprint of one size of deployment."""

import statistics
from collections.abc import Sequence
from typing import NamedTuple, Self

from bench.process_footprint import ProcessFootprint


class FootprintRow(NamedTuple):
    """Medians over the nodes, except where the name says otherwise.

    Attributes:
        nodes: How many nodes ran.
        resident_mib: Resident memory.
        max_resident_mib: Resident memory of the largest node.
        anonymous_mib: Resident memory that no file backs.
        cpu_percent: Share of one core.
        max_cpu_percent: Share of one core of the busiest node.
        sent: Bytes sent in a second on all connections.
        received: Bytes received in a second on all connections.
        max_both: Bytes sent and received in a second by the busiest node.
        threads: Number of threads.
        descriptors: Number of open descriptors.
    """

    nodes: float
    resident_mib: float
    max_resident_mib: float
    anonymous_mib: float
    cpu_percent: float
    max_cpu_percent: float
    sent: float
    received: float
    max_both: float
    threads: float
    descriptors: float

    @classmethod
    def from_footprints(
        cls,
        before: Sequence[ProcessFootprint],
        after: Sequence[ProcessFootprint],
        seconds: float,
    ) -> Self:
        """Summarizes the same processes at two moments."""
        pairs = list(zip(before, after, strict=True))
        cpu = [
            (end.cpu_seconds - start.cpu_seconds) / seconds * 100
            for start, end in pairs
        ]
        sent = [
            (end.written_bytes - start.written_bytes) / seconds
            for start, end in pairs
        ]
        received = [
            (end.read_bytes - start.read_bytes) / seconds
            for start, end in pairs
        ]
        resident = [end.resident_mib for end in after]
        return cls(
            nodes=len(pairs),
            resident_mib=statistics.median(resident),
            max_resident_mib=max(resident),
            anonymous_mib=statistics.median(end.anonymous_mib for end in after),
            cpu_percent=statistics.median(cpu),
            max_cpu_percent=max(cpu),
            sent=statistics.median(sent),
            received=statistics.median(received),
            max_both=max(map(sum, zip(sent, received, strict=True))),
            threads=statistics.median(end.threads for end in after),
            descriptors=statistics.median(end.descriptors for end in after),
        )
