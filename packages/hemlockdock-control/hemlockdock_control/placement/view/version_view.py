"""Describe one version of a model to the planner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VersionView:
    """Describe one checkpoint of a model.

    Attributes
    ----------
    name : str
    memory_mb : int
        Accelerator memory that a replica reserves.
    checkpoint_mb : int
    """

    name: str
    memory_mb: int
    checkpoint_mb: int
