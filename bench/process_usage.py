"""What a process uses, from /proc."""

import os
from pathlib import Path
from typing import NamedTuple, Self

_TICKS = os.sysconf("SC_CLK_TCK")


class ProcessUsage(NamedTuple):
    """Usage of one process at one moment.

    Attributes:
        cpu_seconds: User and system time since the process started.
        resident_mib: Resident memory.
        threads: Number of threads.
    """

    cpu_seconds: float
    resident_mib: float
    threads: int

    @classmethod
    def of(cls, pid: int) -> Self:
        """Reads the usage of a process."""
        folder = Path("/proc") / str(pid)
        stat = (folder / "stat").read_text().rpartition(")")[2].split()
        status = dict(
            line.split(":", 1)
            for line in (folder / "status").read_text().splitlines()
        )
        return cls(
            cpu_seconds=(int(stat[11]) + int(stat[12])) / _TICKS,
            resident_mib=int(status["VmRSS"].split()[0]) / 1024,
            threads=int(status["Threads"]),
        )
