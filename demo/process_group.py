"""Starts and stops processes of the demonstration, tests and benchmarks."""

import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Self

_STOP_SECONDS = 10
_DESCRIBED_LINES = 20


class ProcessGroup:
    """Starts processes and stops each of them by its process id."""

    def __init__(self, log_folder: Path) -> None:
        self._log_folder = log_folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop_all()

    def start(self, name: str, *arguments: str) -> None:
        """Starts `python -m` with the arguments under a name."""
        self.start_program(name, sys.executable, "-m", *arguments)

    def start_program(self, name: str, *command: str) -> None:
        """Starts a program with its arguments under a name."""
        with (self._log_folder / f"{name}.log").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                command,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def run(self, *arguments: str) -> None:
        """Runs `python -m` with the arguments and waits for its end."""
        subprocess.run([sys.executable, "-m", *arguments], check=True)

    def get_pid(self, name: str) -> int:
        """Returns the process id of a running process."""
        return self._processes[name].pid

    def describe(self) -> str:
        """Returns the state and the last lines of each process, for errors."""
        return "\n".join(map(self._describe_process, self._processes))

    def stop(self, name: str) -> int:
        """Stops a process and returns its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        try:
            return process.wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def wait(self, name: str, seconds: float) -> int:
        """Waits for the end of a process and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: The process is still running.
        """
        code = self._processes[name].wait(seconds)
        del self._processes[name]
        return code

    def _describe_process(self, name: str) -> str:
        code = self._processes[name].poll()
        state = "runs" if code is None else f"ended with exit code {code}"
        path = self._log_folder / f"{name}.log"
        lines = path.read_text(errors="replace").splitlines()
        last_lines = lines[-_DESCRIBED_LINES:]
        return "\n".join([f"{name} {state}", *(f"  {x}" for x in last_lines)])

    def kill_all(self) -> None:
        """Kills all processes, including paused ones."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()

    def stop_all(self) -> None:
        """Stops all processes, in the reverse order of their start.

        All receive SIGTERM before any is awaited, because a node takes 2 s to
        shut down.
        """
        names = tuple(reversed(self._processes))
        for name in names:
            self._processes[name].terminate()
        for name in names:
            self.stop(name)


def wait_for_http(url: str, seconds: float) -> None:
    """Waits until a URL responds with status 200.

    Raises:
        TimeoutError: It did not respond with status 200 in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                if response.status == 200:
                    return
        except (urllib.error.URLError, OSError):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{url} did not respond with 200 within {seconds} s")
