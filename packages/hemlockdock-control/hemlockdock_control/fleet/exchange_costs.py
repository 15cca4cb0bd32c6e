"""Costs of unloading models and of blocking engines, in requests that have to wait."""

MS_PER_S = 1_000.0
# Assumed request rate for a model whose only local copy is on the blocked host: demand may shift to
# it, and no other host could load it quickly.
SOLE_HOLDER_RATE_PER_S = 0.1
# Fraction of a model's requests that wait while its engine accepts no adapter orders.
ADAPTER_REQUEST_FRACTION = 0.3
# Period over which the requests served by a loaded model count as its benefit.
HORIZON_S = 2.0
# Time from the end of a model load to the first event of a response.
FIRST_EVENT_S = 0.15
# Assumed request rate of the initially loaded models until there is enough demand history.
PRIOR_RATE_PER_S = 0.3
# Time from a decision until entries have learned of it.
NOTIFICATION_DELAY_S = 0.3
# Evicting one of several copies delays requests only until they are rerouted to another copy.
REROUTE_DELAY_S = 0.1


class ExchangeCosts:
    """Costs of exchanges in one placement round.

    Parameters
    ----------
    spec_by_name : dict of str to ModelSpec
    use_by_name : dict of str to AggregatedDemand or None
    copies : ModelCopies
    resident_by_id : dict of str to set of str
        Models that the engines are going to have, keyed by endpoint id.
    assumed_names : set of str
        Models without known demand that are assumed to be requested nevertheless.
    now_s : float
    """

    def __init__(self, spec_by_name, use_by_name, copies, resident_by_id, assumed_names, now_s):
        self._spec_by_name = spec_by_name
        self._use_by_name = use_by_name
        self._copies = copies
        self._resident_by_id = resident_by_id
        self._assumed_names = assumed_names
        self._now_s = now_s

    def fastest_first_event_s(self, name):
        """Return the time from the begin of a model's fastest load to a response's first event.

        Parameters
        ----------
        name : str

        Returns
        -------
        float
        """
        spec = self._spec_by_name[name]
        load_ms = spec.disk_load_ms if name in self._copies.holders_by_name else spec.store_load_ms
        return load_ms / MS_PER_S + FIRST_EVENT_S

    def harm(self, name, blocked_s):
        """Return the number of requests that would have to wait if one copy were unloaded.

        Parameters
        ----------
        name : str
        blocked_s : float
            Time before which the only host with the weights can't load the model.

        Returns
        -------
        float
        """
        value = self.value(name)
        copies = self._copies.count_by_name.get(name, 1)
        use = self._use_by_name.get(name)
        if copies > 1:
            return value * REROUTE_DELAY_S
        waiting = 0 if use is None else use.waiting
        absent_s = HORIZON_S + self.fastest_first_event_s(name) + NOTIFICATION_DELAY_S
        if self._copies.holders_by_name[name] <= 1:
            absent_s += blocked_s
        return value * absent_s + waiting

    def blocked_rate(self, view, spec):
        """Return the rate of requests that have to wait while an engine exchanges models.

        Parameters
        ----------
        view : EngineView
        spec : ModelSpec
            Model that it loads.

        Returns
        -------
        float
        """
        rate = 0.0
        for name in view.report.on_host:
            if name == spec.name or self._copies.count_by_name.get(name, 0):
                continue
            holders = self._copies.holders_by_name[name]
            if holders == 1:
                rate += SOLE_HOLDER_RATE_PER_S
            use = self._use_by_name.get(name)
            if use is not None:
                rate += use.rate_now(self._now_s) / max(1, holders)
        for name in self._resident_by_id[view.endpoint_id]:
            known = self._spec_by_name.get(name)
            if known is not None and known.adapters:
                rate += self.value(name) * ADAPTER_REQUEST_FRACTION
        return rate

    def value(self, name):
        """Return the request rate per copy of a model.

        Parameters
        ----------
        name : str

        Returns
        -------
        float
        """
        use = self._use_by_name.get(name)
        if use is None or use.rate_now(self._now_s) <= 0.0:
            return PRIOR_RATE_PER_S if name in self._assumed_names else 0.0
        return use.rate_now(self._now_s) / max(1, self._copies.count_by_name.get(name, 1))

    def requests_per_copy(self, name):
        """Return the number of requests in flight per copy of a model.

        Parameters
        ----------
        name : str

        Returns
        -------
        int
        """
        use = self._use_by_name.get(name)
        if use is None:
            return 0
        return use.in_flight // max(1, self._copies.count_by_name.get(name, 1))
