"""History that placement needs beyond the current snapshot of the engines."""

from hemlockdock_control.fleet.store_concurrency import StoreConcurrencyEstimator

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
    """History of discovered engines, model loads and failed exchanges.

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
    """

    def __init__(self, store=None):
        self.store = store or StoreConcurrencyEstimator()
        self.unavailable = ()
        self._initial_models = set()
        self._seen_ids = set()
        self._last_new_engine_s = 0.0
        self.recent_loads = RecentModelEvents(NEW_MODEL_GRACE_S)
        self.recent_failures = RecentModelEvents(FAILED_RETRY_DELAY_S)

    def observe(self, views, now_s):
        """Record the models that newly discovered engines have loaded.

        Parameters
        ----------
        views : iterable of EngineView
        now_s : float
        """
        for view in views:
            if view.endpoint_id in self._seen_ids:
                continue
            self._seen_ids.add(view.endpoint_id)
            self._last_new_engine_s = now_s
            self._initial_models |= {model.name for model in view.report.models}

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

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        return now_s - self._last_new_engine_s < ENGINE_DISCOVERY_S + PREFETCH_WINDOW_S

    def was_initially_loaded(self, model):
        """Tell whether a model was already loaded on an engine when that engine was discovered.

        Parameters
        ----------
        model : str

        Returns
        -------
        bool
        """
        return model in self._initial_models
