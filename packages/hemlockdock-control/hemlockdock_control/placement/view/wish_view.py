"""Describe to the planner that requests wait for a model."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WishView:
    """Describe the waiting requests of one entry for one model or adapter.

    Several entries' wishes for the same target may stand side by side.

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
        When the entry first asked.
    """

    model: str
    adapter: str
    waiting: int
    deadline_at_ms: int
    priority: int
    since_ms: int
