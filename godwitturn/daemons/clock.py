"""Clock of the daemons."""

import time


def now() -> float:
    """Returns the seconds since the VM booted; they never decrease.

    Unlike the monotonic clock, this clock advances while the VM is suspended,
    so that a confirmed configuration also ages during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
