"""Keep timers apart from the wall clock."""

import time


def use_monotonic_clock(reactor):
    """Let a reactor's timers follow a clock that is never set.

    Twisted's own follow the wall clock: set back by an hour, it would keep every heartbeat and
    deadline waiting for that hour. It has to be called before anything is scheduled.

    Parameters
    ----------
    reactor : twisted reactor
    """
    reactor.seconds = time.monotonic
