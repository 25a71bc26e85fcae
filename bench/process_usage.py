"""Reads processor time, memory and threads of a process from /proc."""

import os
from pathlib import Path
from typing import NamedTuple, Self

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class ProcessUsage(NamedTuple):
    """The resource usage of a process at one time.

    Attributes:
        cpu_seconds: User and system time since the process started.
        resident_mib: Resident memory in MiB.
        threads: The number of threads.
    """

    cpu_seconds: float
    resident_mib: float
    threads: int

    @classmethod
    def from_pid(cls, pid: int) -> Self:
        """Reads the usage of a process."""
        directory = Path("/proc") / str(pid)
        stat = (directory / "stat").read_text().rpartition(")")[2].split()
        status = dict(
            line.split(":", 1)
            for line in (directory / "status").read_text().splitlines()
        )
        return cls(
            cpu_seconds=(int(stat[11]) + int(stat[12])) / _TICKS_PER_SECOND,
            resident_mib=int(status["VmRSS"].split()[0]) / 1024,
            threads=int(status["Threads"]),
        )
