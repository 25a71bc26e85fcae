"""Controls a client process of the transport benchmark."""

import json
import subprocess
import sys


class TransportProcess:
    """Starts a client process and runs batches of calls in it."""

    def __init__(self, transport: str, port: int) -> None:
        command = [sys.executable, "-m", "bench.transport_client"]
        self.process = subprocess.Popen(
            [*command, transport, str(port)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def run(self, calls: int) -> list[float]:
        """Runs calls one after another and returns the seconds of each."""
        assert self.process.stdin and self.process.stdout
        self.process.stdin.write(f"{calls}\n")
        self.process.stdin.flush()
        seconds: list[float] = json.loads(self.process.stdout.readline())
        return seconds

    def stop(self) -> None:
        """Closes the input of the process and waits until it exits."""
        assert self.process.stdin
        self.process.stdin.close()
        self.process.wait(10)
