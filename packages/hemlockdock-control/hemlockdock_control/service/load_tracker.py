"""Keep the volatile reports of load and the wishes that nodes send."""

from dataclasses import dataclass

from hemlockdock_control.placement import WishView

WISH_REPEATS_MISSED = 5
SHORTEST_WISH_KEEP_MS = 1_000
# Longer than members take to tell a new leader all that they heard.
LEARNING_MS = 10_000


@dataclass(slots=True)
class StandingWish:
    """Hold a wish that an entry repeats while requests wait.

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
class ModelUse:
    """Hold what one node last reported of one model.

    Attributes
    ----------
    incarnation : int
    arrivals, in_flight : int
    used_ms : int
        Wall clock of the last report that showed use; 0 for never.
    """

    incarnation: int
    arrivals: int
    in_flight: int
    used_ms: int


class LoadTracker:
    """Keep reports of load by node and model, and standing wishes.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
    on_arrivals : callable
        Takes a model, a count and a wall-clock time; called for entries' new arrivals.
    """

    def __init__(self, settings, on_arrivals):
        self._keep_ms = max(settings.entry.wish_ms * WISH_REPEATS_MISSED, SHORTEST_WISH_KEEP_MS)
        self._on_arrivals = on_arrivals
        self._wish_by_key = {}
        self._use_by_key = {}
        self._begun_ms = 0

    def begin(self, at_ms):
        """Start to learn, as a member does that begins to lead.

        Parameters
        ----------
        at_ms : int
        """
        self._wish_by_key.clear()
        self._use_by_key.clear()
        self._begun_ms = at_ms

    def wish(self, sender, wish, at_ms):
        """Take in a wish; a repeat keeps its first time.

        Parameters
        ----------
        sender : str
        wish : Wish
        at_ms : int
        """
        key = (sender, wish.model, wish.adapter)
        standing = self._wish_by_key.get(key)
        since_ms = standing.since_ms if standing is not None else at_ms
        self._wish_by_key[key] = StandingWish(wish, since_ms, at_ms)

    def report(self, heard, loads, at_ms, from_entry):
        """Take in a node's report of load.

        Parameters
        ----------
        heard : HeardNode
        loads : list of ModelLoad
            What is new in this report.
        at_ms : int
        from_entry : bool
            Whether its arrivals are callers' requests.
        """
        for load in loads:
            key = (heard.node_id, load.model)
            use = self._use_by_key.get(key)
            new_arrivals = self._new_arrivals(use, heard.incarnation, load, at_ms)
            if new_arrivals and from_entry:
                self._on_arrivals(load.model, new_arrivals, at_ms)
            used = new_arrivals > 0 or load.in_flight > 0 or load.waiting > 0
            used_ms = at_ms if used else (use.used_ms if use is not None else 0)
            self._use_by_key[key] = ModelUse(
                heard.incarnation, load.arrivals, load.in_flight, used_ms
            )

    def use(self, node_id, model):
        """Return what a node last reported of a model, or None.

        Parameters
        ----------
        node_id, model : str

        Returns
        -------
        ModelUse or None
        """
        return self._use_by_key.get((node_id, model))

    def forget_node(self, node_id):
        """Forget what a node reported that is not heard any more.

        Parameters
        ----------
        node_id : str
        """
        for key in [key for key in self._use_by_key if key[0] == node_id]:
            del self._use_by_key[key]

    def wishes(self, at_ms):
        """Return the wishes that still stand.

        Parameters
        ----------
        at_ms : int

        Returns
        -------
        list of WishView
        """
        views = []
        for key, standing in list(self._wish_by_key.items()):
            if at_ms - standing.heard_ms > self._keep_ms:
                del self._wish_by_key[key]
                continue
            wish = standing.wish
            if wish.waiting <= 0:
                continue
            deadline_at_ms = standing.heard_ms + wish.earliest_deadline_ms
            views.append(
                WishView(
                    wish.model,
                    wish.adapter,
                    wish.waiting,
                    deadline_at_ms,
                    wish.priority,
                    standing.since_ms,
                )
            )
        return views

    def _new_arrivals(self, use, incarnation, load, at_ms):
        if use is not None and use.incarnation == incarnation:
            return max(load.arrivals - use.arrivals, 0)
        if use is None and at_ms - self._begun_ms < LEARNING_MS:
            # To a new leader, what a node counted long ago would look like a burst.
            return 0
        return load.arrivals
