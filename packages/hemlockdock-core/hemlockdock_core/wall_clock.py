"""The wall clock. It may be set back or forward, so timers use the reactor's clock instead."""

import time

MS_PER_S = 1_000


def wall_ms():
    """Return the wall clock time, in milliseconds since the Unix epoch.

    Returns
    -------
    int
    """
    return int(time.time() * MS_PER_S)
