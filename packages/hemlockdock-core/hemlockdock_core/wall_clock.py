"""Read the wall clock, which may be set; timers use the reactor's clock instead."""

import time

MS_PER_S = 1_000


def wall_ms():
    """Return the wall clock, in milliseconds since 1970.

    Returns
    -------
    int
    """
    return int(time.time() * MS_PER_S)
