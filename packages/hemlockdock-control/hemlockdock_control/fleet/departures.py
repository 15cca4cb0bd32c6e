"""Tell for how long engines that are listed as leaving still take requests.

A platform allows requests to an endpoint for some time after its directory lists it as leaving.
Models that no other host has can be served until then, also those that its host loads first.
"""

from hemlockdock_core.settings.sections import FleetSection

# Time from a decision of the leader until a request that follows it has reached an endpoint.
DELIVERY_MARGIN_S = 1.0
# An engine that is stopped at a known time gets no request that it would not finish before.
ANSWER_S = 2.0
MS_PER_S = 1_000.0


class Departures:
    """Track when the directory last listed endpoints as staying.

    Parameters
    ----------
    fleet : FleetSection, optional
        Provides ``leaving_use_ms``.
    """

    def __init__(self, fleet=None):
        fleet = fleet or FleetSection()
        self._use_s = fleet.leaving_use_ms / MS_PER_S
        self._staying_s_by_id = {}

    def clear(self):
        """Forget when endpoints were listed: another member may have led in the meantime."""
        self._staying_s_by_id = {}

    def observe(self, endpoints, read_s):
        """Record which endpoints the directory lists as staying.

        Parameters
        ----------
        endpoints : iterable of ListedEndpoint
        read_s : float
            Time at which the reading began.
        """
        known = self._staying_s_by_id
        self._staying_s_by_id = {}
        for listed in endpoints:
            if not listed.leaving:
                self._staying_s_by_id[listed.endpoint_id] = read_s
            elif listed.endpoint_id in known:
                self._staying_s_by_id[listed.endpoint_id] = known[listed.endpoint_id]

    def left_s(self, endpoint_id, report, now_s):
        """Return for how long an endpoint that leaves still takes requests.

        Parameters
        ----------
        endpoint_id : str
        report : AgentReport
        now_s : float

        Returns
        -------
        float
            Negative if it takes none.
        """
        staying_s = self._staying_s_by_id.get(endpoint_id, float("-inf"))
        left_s = staying_s + self._use_s - DELIVERY_MARGIN_S - now_s
        leaves_in_ms = report.body.report.leaves_in_ms
        if leaves_in_ms is None:
            return left_s
        stopped_s = report.received_s + leaves_in_ms / MS_PER_S
        return min(left_s, stopped_s - ANSWER_S - now_s)
