"""Decide which requests an entry that is stopping may still send to endpoints.

The decisions answer planned stops under load: clients go on sending until they have noticed that
the entry is not ready, and a request that the end of the process cuts off gets no answer, though it
may have run. One that is refused before it is sent goes to another entry.
"""

from hemlockdock_entry.gateway.run_times import RunTimes


class StopSchedule:
    """Times of a planned stop.

    Parameters
    ----------
    clock : IReactorTime

    Attributes
    ----------
    ends_s : float or None
        Time at which running requests are cut off; None while no stop is planned.
    run_times : RunTimes
    """

    def __init__(self, clock):
        self._clock = clock
        self.ends_s = None
        self.run_times = RunTimes()

    def begin(self, grace_s):
        """Plan the stop.

        Parameters
        ----------
        grace_s : float
            Time for which running requests go on.
        """
        self.ends_s = self._clock.seconds() + grace_s

    def allows(self, exchange):
        """Tell whether a request that is sent now ends before it would be cut off.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        bool
        """
        if self.ends_s is None or exchange.has_started:
            # What clients have begun to receive goes on for as long as possible.
            return True
        if exchange.deadline_s <= self.ends_s:
            return True
        takes_s = self.run_times.estimate_s(exchange.route)
        return takes_s is not None and self._clock.seconds() + takes_s <= self.ends_s
