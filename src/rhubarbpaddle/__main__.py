"""Runs the executable as `python -m rhubarbpaddle`."""

import signal
import sys

if sys.argv[1:] == ["platform"]:
    # The platform sends SIGHUP whenever the settings change. Until the node
    # handles it, it would end the process; the imports below take 0.2 s.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from rhubarbpaddle.cli import main

if __name__ == "__main__":
    main()
