"""Describe the requests that wait for a model to the planner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WaitingRequestsView:
    """Describe the waiting requests of one entry for one model or adapter.

    A view may hold several of these for the same target, from different entries.

    Attributes
    ----------
    model : str
    adapter : str
        Empty for the base model.
    waiting : int
    deadline_at_ms : int
        Earliest deadline among the waiting requests.
    priority : int
    since_ms : int
        When the entry first asked for the target.
    """

    model: str
    adapter: str
    waiting: int
    deadline_at_ms: int
    priority: int
    since_ms: int
