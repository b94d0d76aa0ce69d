"""Entry point of ``python -m apricotgap``."""

import signal
import sys

import apricotgap.process_start  # noqa: F401 - it reads the clock when imported

if sys.argv[1:2] == ["serve"]:
    # Imports take a while, and a SIGHUP must not end a process that does not handle
    # it yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from apricotgap.cli import main  # noqa: E402

__all__: list[str] = []

if __name__ == "__main__":
    main(prog_name="apricotgap")
