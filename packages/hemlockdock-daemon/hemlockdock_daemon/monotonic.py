"""Timers that are independent of the wall clock."""

import time


def use_monotonic_clock(reactor):
    """Make a reactor's timers use the monotonic clock.

    Twisted's timers use the wall clock by default. If that is set back by an hour, all heartbeats
    and deadlines are delayed by an hour. Has to be called before anything is scheduled.

    Parameters
    ----------
    reactor : twisted reactor
    """
    reactor.seconds = time.monotonic
