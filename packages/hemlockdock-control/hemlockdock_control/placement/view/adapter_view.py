"""Describe one adapter to the planner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdapterView:
    """Describe one adapter.

    Attributes
    ----------
    name : str
    model : str
        Base model of the adapter.
    memory_mb : int
    """

    name: str
    model: str
    memory_mb: int
