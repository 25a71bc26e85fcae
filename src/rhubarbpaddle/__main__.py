"""Runs the executable as `python -m rhubarbpaddle`."""

import signal
import sys

if sys.argv[1:] == ["platform"]:
    # The platform sends SIGHUP whenever the settings change. By default the
    # signal terminates the process, which would happen if it arrived during
    # the imports below: they take 0.2 s, and the node installs its handler
    # afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from rhubarbpaddle.cli import main

if __name__ == "__main__":
    main()
