"""Bound the use of endpoints that are about to leave, should the leader fall silent meanwhile."""

MS_PER_S = 1_000.0
# Time from the directory's listing until entries know of it, and from then to an endpoint.
DELIVERY_MARGIN_S = 1.0


class RetiringEndpoints:
    """Track since when this entry knows that endpoints are about to leave.

    Parameters
    ----------
    clock : twisted reactor
    fleet : FleetSection
        Provides ``leaving_use_ms``.
    """

    def __init__(self, clock, fleet):
        self._clock = clock
        self._use_s = fleet.leaving_use_ms / MS_PER_S - DELIVERY_MARGIN_S
        self._since_s_by_id = {}

    def update(self, row_by_id):
        """Note which endpoints are about to leave.

        Parameters
        ----------
        row_by_id : dict of str to EndpointRow
        """
        now_s = self._clock.seconds()
        known = self._since_s_by_id
        self._since_s_by_id = {}
        for row in row_by_id.values():
            if row.retiring:
                self._since_s_by_id[row.endpoint_id] = known.get(row.endpoint_id, now_s)

    def has_left(self, row):
        """Return whether an endpoint is about to leave and takes no request any more.

        Parameters
        ----------
        row : EndpointRow

        Returns
        -------
        bool
        """
        since_s = self._since_s_by_id.get(row.endpoint_id)
        return since_s is not None and self._clock.seconds() - since_s >= self._use_s
