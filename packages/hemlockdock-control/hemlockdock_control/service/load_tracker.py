"""Track load reports and wishes, which are not committed."""

from dataclasses import dataclass

from hemlockdock_control.placement import WaitingRequestsView

MAX_MISSED_WISH_REPEATS = 5
MIN_WISH_TTL_MS = 1_000
# Longer than members take to send a new leader everything that they received.
WARMUP_MS = 10_000


@dataclass(slots=True)
class ActiveWish:
    """Hold a wish, which an entry repeats while requests are waiting.

    Attributes
    ----------
    wish : Wish
    since_ms : int
    heard_ms : int
        Wall clock, in milliseconds since 1970.
    """

    wish: object
    since_ms: int
    heard_ms: int


@dataclass(slots=True)
class ReportedLoad:
    """Hold the latest report of one node on one model.

    Attributes
    ----------
    incarnation : int
    arrivals, in_flight : int
    used_ms : int
        Wall-clock time of the last report that showed use; 0 if there was none.
    """

    incarnation: int
    arrivals: int
    in_flight: int
    used_ms: int


class LoadTracker:
    """Track the load by node and model, and the active wishes.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
    on_arrivals : callable
        Takes a model, a count and a wall-clock time; called for new arrivals at entries.
    """

    def __init__(self, settings, on_arrivals):
        self._wish_ttl_ms = max(settings.entry.wish_ms * MAX_MISSED_WISH_REPEATS, MIN_WISH_TTL_MS)
        self._on_arrivals = on_arrivals
        self._wish_by_key = {}
        self._use_by_key = {}
        self._reset_at_ms = 0

    def reset(self, at_ms):
        """Clear all reports and wishes when this member becomes leader.

        Parameters
        ----------
        at_ms : int
        """
        self._wish_by_key.clear()
        self._use_by_key.clear()
        self._reset_at_ms = at_ms

    def record_wish(self, sender, wish, at_ms):
        """Record a wish; a repeated wish keeps the time of its first arrival.

        Parameters
        ----------
        sender : str
        wish : Wish
        at_ms : int
        """
        key = (sender, wish.model, wish.adapter)
        active = self._wish_by_key.get(key)
        since_ms = active.since_ms if active is not None else at_ms
        self._wish_by_key[key] = ActiveWish(wish, since_ms, at_ms)

    def record_loads(self, heard, loads, at_ms, from_entry):
        """Record a node's load report.

        Parameters
        ----------
        heard : HeardNode
        loads : list of ModelTraffic
            Loads that are new in this report.
        at_ms : int
        from_entry : bool
            Whether the node is an entry, whose arrivals are callers' requests.
        """
        for load in loads:
            key = (heard.node_id, load.model)
            use = self._use_by_key.get(key)
            new_arrivals = self._new_arrivals(use, heard.incarnation, load, at_ms)
            if new_arrivals and from_entry:
                self._on_arrivals(load.model, new_arrivals, at_ms)
            used = new_arrivals > 0 or load.in_flight > 0 or load.waiting > 0
            used_ms = at_ms if used else (use.used_ms if use is not None else 0)
            self._use_by_key[key] = ReportedLoad(
                heard.incarnation, load.arrivals, load.in_flight, used_ms
            )

    def reported_load(self, node_id, model):
        """Return a node's latest report on a model, or None.

        Parameters
        ----------
        node_id, model : str

        Returns
        -------
        ReportedLoad or None
        """
        return self._use_by_key.get((node_id, model))

    def forget_node(self, node_id):
        """Remove the reports of a node that no longer sends heartbeats.

        Parameters
        ----------
        node_id : str
        """
        for key in [key for key in self._use_by_key if key[0] == node_id]:
            del self._use_by_key[key]

    def wishes(self, at_ms):
        """Return the wishes that have not expired.

        Parameters
        ----------
        at_ms : int

        Returns
        -------
        list of WaitingRequestsView
        """
        views = []
        for key, active in list(self._wish_by_key.items()):
            if at_ms - active.heard_ms > self._wish_ttl_ms:
                del self._wish_by_key[key]
                continue
            wish = active.wish
            if wish.waiting <= 0:
                continue
            deadline_at_ms = active.heard_ms + wish.earliest_deadline_ms
            views.append(
                WaitingRequestsView(
                    wish.model,
                    wish.adapter,
                    wish.waiting,
                    deadline_at_ms,
                    wish.priority,
                    active.since_ms,
                )
            )
        return views

    def _new_arrivals(self, use, incarnation, load, at_ms):
        if use is not None and use.incarnation == incarnation:
            return max(load.arrivals - use.arrivals, 0)
        if use is None and at_ms - self._reset_at_ms < WARMUP_MS:
            # A new leader would mistake a node's cumulative count for a burst.
            return 0
        return load.arrivals
