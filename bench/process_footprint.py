"""What a node process holds and has used, from /proc."""

import os
from pathlib import Path
from typing import NamedTuple, Self

from bench.process_usage import ProcessUsage


class ProcessFootprint(NamedTuple):
    """The footprint of one process at one moment.

    Attributes:
        cpu_seconds: User and system time since the process started.
        read_bytes: Bytes that read system calls returned since the start.
            A node reads its TCP streams with them and, at rest, nothing else.
        written_bytes: Bytes that write system calls took since the start, log
            lines included. Headers of TCP and IP are in neither figure.
        resident_mib: Resident memory.
        anonymous_mib: Resident memory that no file backs.
        threads: Number of threads.
        descriptors: Number of open descriptors.
    """

    cpu_seconds: float
    read_bytes: int
    written_bytes: int
    resident_mib: float
    anonymous_mib: float
    threads: int
    descriptors: int

    @classmethod
    def of(cls, pid: int) -> Self:
        """Reads the footprint of a process."""
        folder = Path("/proc") / str(pid)
        status = _read_fields(folder / "status")
        counts = _read_fields(folder / "io")
        usage = ProcessUsage.of(pid)
        return cls(
            cpu_seconds=usage.cpu_seconds,
            read_bytes=int(counts["rchar"]),
            written_bytes=int(counts["wchar"]),
            resident_mib=usage.resident_mib,
            anonymous_mib=int(status["RssAnon"].split()[0]) / 1024,
            threads=usage.threads,
            descriptors=len(os.listdir(folder / "fd")),
        )


def _read_fields(path: Path) -> dict[str, str]:
    return dict(
        line.split(":", 1)
        for line in path.read_text().splitlines()
        if ":" in line
    )
