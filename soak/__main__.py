"""Runs the soak test: `python -m soak [FIRST] [--count N] [--seconds S]`."""

import sys
import tempfile
from pathlib import Path

import cyclopts

from soak.run import run_soak

app = cyclopts.App(name="soak")


@app.default
def main(
    first: int = 1, /, count: int = 1, seconds: float = 15.0, hosts: int = 6
) -> None:
    """Runs consecutive seeds and exits with 1 if a guarantee was violated.

    Args:
        first: The first seed.
        count: The number of seeds.
        seconds: How long faults are injected in each run.
        hosts: The number of hosts, each with a node process.
    """
    failed = []
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        report = run_soak(seed, seconds, hosts, folder)
        statuses = " ".join(
            f"{status}:{number}"
            for status, number in sorted(report.statuses.items())
        )
        kinds, faults = (
            " ".join(
                f"{name}:{number}" for name, number in sorted(counts.items())
            )
            for counts in (report.kinds, report.faults)
        )
        print(
            f"seed={seed} responses {statuses} {kinds} faults {faults}",
            flush=True,
        )
        if report.faults["reload_before_first_line"]:
            print("  known red: SIGHUP before the first line of a process")
        for violation in report.violations:
            print(f"  {violation}")
        if report.violations:
            failed.append(seed)
            print(f"  logs in {folder}", flush=True)
    print(f"{count - len(failed)} passed, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app()
