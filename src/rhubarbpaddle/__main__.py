"""Runs the executable as `python -m rhubarbpaddle`."""

import sys

if sys.argv[1:] == ["platform"]:
    # The platform sends SIGHUP whenever the settings change. By default the
    # signal terminates the process, which would happen if it arrived during
    # the imports; the node installs its handler afterwards. Importing `signal`
    # takes 8 ms, its built-in part takes none.
    from _signal import SIG_IGN, SIGHUP, signal

    signal(SIGHUP, SIG_IGN)

    from rhubarbpaddle.launch.prepare_import import prepare_import

    prepare_import()

from rhubarbpaddle.cli import main

if __name__ == "__main__":
    main()
