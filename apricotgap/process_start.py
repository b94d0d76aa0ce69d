"""Time at which this process started, as far as Python code can tell.

Imported before all other modules: their imports take up to a second on a slow machine.
"""

import time

__all__ = ["PROCESS_STARTED_MS"]

# On the boot clock, in milliseconds.
PROCESS_STARTED_MS = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
