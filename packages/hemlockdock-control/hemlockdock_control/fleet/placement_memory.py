"""Remember what one moment's view of the engines doesn't show."""

from hemlockdock_control.fleet.store_speed import StoreSpeed

# A model that was just loaded gets its first request within this time.
SETTLING_S = 0.4
# After an exchange that failed, the same one isn't tried again for this long.
FAILED_PAUSE_S = 1.0
# All engines of a deployment that starts are seen within this time of each other.
NEW_ENGINES_S = 0.8
# Then, before anybody asks, models without a copy on any host are fetched, if at all.
FETCH_AHEAD_S = 1.0


class RecentModels:
    """Remember for a time what happened to models at endpoints.

    Parameters
    ----------
    kept_s : float
    """

    def __init__(self, kept_s):
        self._kept_s = kept_s
        self._noted_s = {}

    def note(self, endpoint_id, model, now_s):
        """Note that it happened; what is too old is forgotten.

        Parameters
        ----------
        endpoint_id, model : str
        now_s : float
        """
        for key, noted_s in list(self._noted_s.items()):
            if now_s - noted_s >= self._kept_s:
                del self._noted_s[key]
        self._noted_s[(endpoint_id, model)] = now_s

    def has(self, endpoint_id, model, now_s):
        """Tell whether it happened so lately.

        Parameters
        ----------
        endpoint_id, model : str
        now_s : float

        Returns
        -------
        bool
        """
        noted_s = self._noted_s.get((endpoint_id, model))
        return noted_s is not None and now_s - noted_s < self._kept_s


class PlacementMemory:
    """Remember what one moment's view doesn't show.

    Parameters
    ----------
    store : StoreSpeed, optional

    Attributes
    ----------
    store : StoreSpeed
    loads : RecentModels
        Models whose requests are still on their way.
    failures : RecentModels
        Exchanges that ended without their model.
    """

    def __init__(self, store=None):
        self.store = store or StoreSpeed()
        self._first = set()
        self._seen_ids = set()
        self._last_new_s = 0.0
        self.loads = RecentModels(SETTLING_S)
        self.failures = RecentModels(FAILED_PAUSE_S)

    def see(self, views, now_s):
        """Note which models engines held when they were first seen.

        Parameters
        ----------
        views : iterable of EngineView
        now_s : float
        """
        for view in views:
            if view.endpoint_id in self._seen_ids:
                continue
            self._seen_ids.add(view.endpoint_id)
            self._last_new_s = now_s
            self._first |= {model.name for model in view.report.models}

    def is_settled(self, now_s):
        """Tell whether no new engine has come for a time.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        return now_s - self._last_new_s >= NEW_ENGINES_S

    def may_fetch_ahead(self, now_s):
        """Tell whether models may be fetched from the store before anybody asks for them.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        return now_s - self._last_new_s < NEW_ENGINES_S + FETCH_AHEAD_S

    def was_first(self, model):
        """Tell whether a model was loaded before anything was decided.

        Parameters
        ----------
        model : str

        Returns
        -------
        bool
        """
        return model in self._first
