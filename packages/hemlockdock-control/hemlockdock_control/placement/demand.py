"""Merge the waiting requests of all entries into one demand per model."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Demand:
    """Summarise the requests of all entries that wait for one model.

    Attributes
    ----------
    model : str
    waiting : int
    deadline_at_ms : int
        Earliest deadline.
    priority : int
        Highest priority among the waiting requests.
    since_ms : int
        Earliest time at which an entry asked for the model.
    waiting_by_adapter : dict of str to int
        Number of waiting requests per adapter, without those for the base model.
    """

    model: str
    waiting: int
    deadline_at_ms: int
    priority: int
    since_ms: int
    waiting_by_adapter: dict[str, int] = field(default_factory=dict)

    def add(self, wish):
        """Add the waiting requests of one entry.

        Parameters
        ----------
        wish : hemlockdock_control.placement.view.WaitingRequestsView
        """
        self.waiting += wish.waiting
        self.deadline_at_ms = min(self.deadline_at_ms, wish.deadline_at_ms)
        self.priority = max(self.priority, wish.priority)
        self.since_ms = min(self.since_ms, wish.since_ms)
        if wish.adapter:
            count = self.waiting_by_adapter.get(wish.adapter, 0)
            self.waiting_by_adapter[wish.adapter] = count + wish.waiting


def merge_demand(view):
    """Merge the waiting requests of a view, ignoring models that are not in the manifest.

    Parameters
    ----------
    view : hemlockdock_control.placement.view.PlannerView

    Returns
    -------
    dict of str to Demand
    """
    merged = {}
    for wish in view.waiting_requests:
        if wish.model not in view.model_by_name or wish.waiting <= 0:
            continue
        demand = merged.get(wish.model)
        if demand is None:
            demand = Demand(wish.model, 0, wish.deadline_at_ms, wish.priority, wish.since_ms)
            merged[wish.model] = demand
        demand.add(wish)
    return merged
