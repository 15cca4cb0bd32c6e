"""Compare the capacities that the entries of a fleet state."""

from dataclasses import astuple, dataclass
from statistics import fmean


@dataclass(frozen=True, slots=True)
class EntryCapacity:
    """What an entry's host gives it; 0 stands for unknown.

    Attributes
    ----------
    cores : float
    memory_mb : float
    link_mbps : float
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    link_mbps: float = 0.0


def capacity_ratios(capacities):
    """Return the capacity of each entry in relation to the mean of all.

    An entry counts by the resource of which it has least. A resource that some entry does not
    state is left out.

    Parameters
    ----------
    capacities : list of EntryCapacity

    Returns
    -------
    list of float
        Their mean is 1; exactly 1 each if all are equal or unknown.
    """
    stated = [amounts for amounts in zip(*map(astuple, capacities), strict=True) if all(amounts)]
    uneven = [amounts for amounts in stated if len(set(amounts)) > 1]
    if not uneven:
        return [1.0] * len(capacities)
    relative = []
    for amounts in stated:
        mean = fmean(amounts)
        relative.append([amount / mean for amount in amounts])
    least = [min(values) for values in zip(*relative, strict=True)]
    mean = fmean(least)
    return [value / mean for value in least]
