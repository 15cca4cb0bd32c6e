"""History that placement needs beyond the current snapshot of a pool's engines."""

from dataclasses import dataclass

from hemlockdock_control.fleet.lost_loads import LostLoads
from hemlockdock_control.fleet.store_concurrency import StoreConcurrencyEstimator
from hemlockdock_control.fleet.store_reserve import StoreReserve

# A model that was just loaded receives its first request within this time; it is not evicted
# before.
NEW_MODEL_GRACE_S = 0.4
# An exchange that failed is not retried within this time.
FAILED_RETRY_DELAY_S = 1.0
# At the start of a deployment, all engines are discovered within this time of each other.
ENGINE_DISCOVERY_S = 0.8
# Only within this time after discovery are models without a copy on any host prefetched from the
# store before they are requested.
PREFETCH_WINDOW_S = 1.0
# An engine that crashes is usually started again on its host within this time. The host's disk
# keeps the weights.
RESTART_S = 8.0
# Longer than any such wait.
HOST_RETENTION_S = 120.0
MS_PER_S = 1_000.0


@dataclass(slots=True)
class KnownHost:
    """The weights on the host of an engine, as last reported.

    Attributes
    ----------
    models : frozenset of str
    absent_since_s : float or None
        Time since which the engine does not respond; None if it does.
    """

    models: frozenset
    absent_since_s: float | None = None


class RecentModelEvents:
    """Recent events per endpoint and model, kept for a limited time.

    Parameters
    ----------
    retention_s : float
    """

    def __init__(self, retention_s):
        self._retention_s = retention_s
        self._noted_s = {}

    def note(self, endpoint_id, model, now_s):
        """Note an event and discard expired ones.

        Parameters
        ----------
        endpoint_id, model : str
        now_s : float
        """
        for key, noted_s in list(self._noted_s.items()):
            if now_s - noted_s >= self._retention_s:
                del self._noted_s[key]
        self._noted_s[(endpoint_id, model)] = now_s

    def contains(self, endpoint_id, model, now_s):
        """Tell whether an event was noted within the retention time.

        Parameters
        ----------
        endpoint_id, model : str
        now_s : float

        Returns
        -------
        bool
        """
        noted_s = self._noted_s.get((endpoint_id, model))
        return noted_s is not None and now_s - noted_s < self._retention_s


class PlacementHistory:
    """History of a pool: discovered engines, model loads and failed exchanges.

    Parameters
    ----------
    store : StoreConcurrencyEstimator, optional

    Attributes
    ----------
    store : StoreConcurrencyEstimator
    recent_loads : RecentModelEvents
        Loaded models whose first requests may not have arrived yet.
    recent_failures : RecentModelEvents
        Exchanges that ended without the model being loaded.
    unavailable : tuple of EngineView
        Engines that are leaving or do not respond. Their loads from the store go on.
    silent : tuple of EngineView
        Engines with loads from the store whose agents have not reported lately.
    lost_loads : LostLoads
    last_copies : dict of str to frozenset of str
        Models whose weights only hosts have that are about to be taken away, by endpoint id.
    store_reserve : StoreReserve
    initial_models : set of str
        Models that were already loaded on an engine when that engine was discovered.
    knows_demand : bool
        Whether all entries have reported to this leader what clients ask for.
    on_reported_hosts : frozenset of str
        Models on hosts of engines that respond, whether the directory lists them or not.
    """

    def __init__(self, store=None):
        self.store = store or StoreConcurrencyEstimator()
        self.unavailable = ()
        self.silent = ()
        self.lost_loads = LostLoads()
        self.last_copies = {}
        self.store_reserve = StoreReserve()
        self.knows_demand = True
        self.initial_models = set()
        self._host_by_endpoint = {}
        self._unresponsive_by_address = {}
        self._seen_ids = set()
        self._last_new_engine_s = 0.0
        self.on_reported_hosts = frozenset()
        self._reported_addresses = set()
        self._last_new_report_s = 0.0
        self.recent_loads = RecentModelEvents(NEW_MODEL_GRACE_S)
        self.recent_failures = RecentModelEvents(FAILED_RETRY_DELAY_S)

    def observe(self, views, now_s, leaving_ids=frozenset(), unresponsive=None):
        """Record what engines that respond hold, and which ones have stopped responding.

        Parameters
        ----------
        views : iterable of EngineView
            Engines that respond.
        now_s : float
        leaving_ids : set of str, optional
            Endpoints that are being removed; their hosts do not return.
        unresponsive : dict of str to frozenset of str, optional
            Models on the hosts of engines that do not respond to their agent, by engine address.
        """
        self._observe_hosts(views, now_s, leaving_ids)
        self._observe_unresponsive(unresponsive or {}, now_s)
        for view in views:
            if view.endpoint_id in self._seen_ids:
                continue
            self._seen_ids.add(view.endpoint_id)
            self._last_new_engine_s = now_s
            self.initial_models |= {model.name for model in view.report.models}

    def observe_reports(self, models_by_address, now_s):
        """Record which models the hosts of all engines have that respond, listed or not.

        It is needed only until the first request: then what is requested decides what is loaded.

        Parameters
        ----------
        models_by_address : dict of str to frozenset of str
        now_s : float
        """
        self.on_reported_hosts = frozenset().union(*models_by_address.values())
        if not self._reported_addresses.issuperset(models_by_address):
            self._reported_addresses.update(models_by_address)
            self._last_new_report_s = now_s

    def _observe_hosts(self, views, now_s, leaving_ids):
        responding_ids = set()
        for view in views:
            responding_ids.add(view.endpoint_id)
            self._host_by_endpoint[view.endpoint_id] = KnownHost(view.report.on_host)
        for endpoint_id in leaving_ids:
            self._host_by_endpoint.pop(endpoint_id, None)
        for endpoint_id, host in list(self._host_by_endpoint.items()):
            if endpoint_id in responding_ids:
                continue
            if host.absent_since_s is None:
                host.absent_since_s = now_s
            elif now_s - host.absent_since_s > HOST_RETENTION_S:
                del self._host_by_endpoint[endpoint_id]

    def _observe_unresponsive(self, unresponsive, now_s):
        """Record engines that may have crashed before this member became the leader."""
        known = self._unresponsive_by_address
        self._unresponsive_by_address = {}
        for address, models in unresponsive.items():
            since_s = known[address].absent_since_s if address in known else now_s
            self._unresponsive_by_address[address] = KnownHost(models, since_s)

    def may_return(self, spec, now_s):
        """Tell whether a host with a model's weights may respond sooner than the store delivers.

        Parameters
        ----------
        spec : ModelSpec
        now_s : float

        Returns
        -------
        bool
        """
        wait_s = min(RESTART_S, spec.store_load_ms / MS_PER_S)
        hosts = [*self._host_by_endpoint.values(), *self._unresponsive_by_address.values()]
        for host in hosts:
            if host.absent_since_s is None or spec.name not in host.models:
                continue
            if now_s - host.absent_since_s < wait_s:
                return True
        return False

    def is_settled(self, now_s):
        """Tell whether no new engine has been discovered recently.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        return now_s - self._last_new_engine_s >= ENGINE_DISCOVERY_S

    def may_prefetch(self, now_s):
        """Tell whether models may be loaded from the store before they are requested.

        What all hosts have is known once no further agent has reported for a while.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        if now_s - self._last_new_report_s < ENGINE_DISCOVERY_S:
            return False
        return now_s - self._last_new_engine_s < ENGINE_DISCOVERY_S + PREFETCH_WINDOW_S
