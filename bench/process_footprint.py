"""Reads memory, traffic and processor time of a node process from /proc."""

import os
from pathlib import Path
from typing import NamedTuple, Self

from bench.process_usage import ProcessUsage


class ProcessFootprint(NamedTuple):
    """The footprint of a process at one time.

    Attributes:
        cpu_seconds: User and system time since the process started.
        read_bytes: Bytes returned by read system calls since the start. An idle
            node reads only its TCP streams.
        written_bytes: Bytes written by write system calls since the start,
            including log lines. Neither value includes TCP and IP headers.
        resident_mib: Resident memory in MiB.
        anonymous_mib: Resident memory that is not backed by a file, in MiB.
        threads: The number of threads.
        descriptors: The number of open file descriptors.
    """

    cpu_seconds: float
    read_bytes: int
    written_bytes: int
    resident_mib: float
    anonymous_mib: float
    threads: int
    descriptors: int

    @classmethod
    def from_pid(cls, pid: int) -> Self:
        """Reads the footprint of a process."""
        directory = Path("/proc") / str(pid)
        status = _read_fields(directory / "status")
        io_counters = _read_fields(directory / "io")
        usage = ProcessUsage.from_pid(pid)
        return cls(
            cpu_seconds=usage.cpu_seconds,
            read_bytes=int(io_counters["rchar"]),
            written_bytes=int(io_counters["wchar"]),
            resident_mib=usage.resident_mib,
            anonymous_mib=int(status["RssAnon"].split()[0]) / 1024,
            threads=usage.threads,
            descriptors=len(os.listdir(directory / "fd")),
        )


def _read_fields(path: Path) -> dict[str, str]:
    return dict(
        line.split(":", 1)
        for line in path.read_text().splitlines()
        if ":" in line
    )
