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
    """

    def __init__(self, clock):
        self._clock = clock
        self.ends_s = None
        self._run_times = RunTimes()

    def begin(self, grace_s):
        """Plan the stop.

        Parameters
        ----------
        grace_s : float
            Time for which running requests go on.
        """
        self.ends_s = self._clock.seconds() + grace_s

    def record_run(self, route_name, took_s):
        """Record how long a request ran that was answered.

        Parameters
        ----------
        route_name : str
        took_s : float
        """
        self._run_times.record(route_name, took_s, self._clock.seconds())

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
        now_s = self._clock.seconds()
        if exchange.deadline_s <= self.ends_s:
            return True
        longest_s = self._run_times.longest_s(exchange.route.name, now_s)
        return longest_s is not None and now_s + longest_s <= self.ends_s
