"""Merge the wishes of all entries into one demand per model."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Demand:
    """Hold what waits for one model, at all entries together.

    Attributes
    ----------
    model : str
    waiting : int
    deadline_at_ms : int
        Earliest deadline.
    priority : int
        Highest of the waiting requests.
    since_ms : int
        Longest wait.
    waiting_by_adapter : dict of str to int
        Adapters asked for; the base model is not among them.
    """

    model: str
    waiting: int
    deadline_at_ms: int
    priority: int
    since_ms: int
    waiting_by_adapter: dict[str, int] = field(default_factory=dict)

    def add(self, wish):
        """Add one entry's wish.

        Parameters
        ----------
        wish : hemlockdock_control.placement.view.WishView
        """
        self.waiting += wish.waiting
        self.deadline_at_ms = min(self.deadline_at_ms, wish.deadline_at_ms)
        self.priority = max(self.priority, wish.priority)
        self.since_ms = min(self.since_ms, wish.since_ms)
        if wish.adapter:
            count = self.waiting_by_adapter.get(wish.adapter, 0)
            self.waiting_by_adapter[wish.adapter] = count + wish.waiting


def demand_by_model(view):
    """Merge a view's wishes; wishes for models that are not in the manifest are left out.

    Parameters
    ----------
    view : hemlockdock_control.placement.view.PlannerView

    Returns
    -------
    dict of str to Demand
    """
    merged = {}
    for wish in view.wishes:
        if wish.model not in view.model_by_name or wish.waiting <= 0:
            continue
        demand = merged.get(wish.model)
        if demand is None:
            demand = Demand(wish.model, 0, wish.deadline_at_ms, wish.priority, wish.since_ms)
            merged[wish.model] = demand
        demand.add(wish)
    return merged
