"""The footprint of the nodes of one deployment."""

import statistics
from collections.abc import Sequence
from typing import NamedTuple, Self

from bench.process_footprint import ProcessFootprint


class FootprintRow(NamedTuple):
    """Medians over all nodes, except for `nodes` and the maxima.

    Attributes:
        nodes: The number of nodes.
        resident_mib: Resident memory in MiB.
        max_resident_mib: The largest resident memory of a node in MiB.
        anonymous_mib: Resident memory that is not backed by a file, in MiB.
        cpu_percent: Processor time in percent of one core.
        max_cpu_percent: The largest processor time of a node.
        sent: Bytes per second that a node sent on all connections.
        received: Bytes per second that a node received on all connections.
        max_both: The largest number of bytes per second that a node sent and
            received.
        threads: The number of threads.
        descriptors: The number of open file descriptors.
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
        """Summarizes two measurements of the same processes.

        Args:
            before: The footprints at the start of the interval.
            after: The footprints at its end, in the same order.
            seconds: The length of the interval.
        """
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
