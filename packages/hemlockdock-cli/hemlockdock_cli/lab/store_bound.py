"""Bound the number of names that any schedule of the weight store could serve.

It assumes that demand is known in advance, that an engine always has room, and that loads are never
lost, so that no real schedule does better.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AbsentModel:
    """A requested model that no host has, or that leaves with its last host.

    Attributes
    ----------
    model : str
    names : int
        Requested names that a load would make available: the model and its adapters.
    last_useful_s : float
        Latest end of a load that still serves a request.
    known_s : float
        Earliest begin of a load: when it becomes known that the last host leaves.
    """

    model: str
    names: int
    last_useful_s: float
    known_s: float = float("-inf")


def most_names_served(models, first_load_s, load_s):
    """Return how many names of absent models a store that carries one load could serve.

    All loads take the same time, so that each load of a schedule begins within another one of
    consecutive slots; the bound assigns models to slots that their loads may begin in and still
    serve a request. That a later load of the schedule is delayed by one that begins in the middle
    of its slot, and that a model may be requested only after a slot began, is disregarded.

    Parameters
    ----------
    models : iterable of AbsentModel
    first_load_s : float
        Earliest begin of the first load.
    load_s : float
        Duration of a load at full speed.

    Returns
    -------
    int
    """
    item_by_slot = {}
    served = 0
    for item in sorted(models, key=lambda item: (-item.names, item.model)):
        if _assign(item, item_by_slot, set(), first_load_s, load_s):
            served += item.names
    return served


def _assign(item, item_by_slot, tried, first_load_s, load_s):
    """Assign a model to a slot, and those in its way to others; return whether that is possible."""
    last = int((item.last_useful_s - first_load_s) // load_s) - 1
    first = 0
    if item.known_s > first_load_s:
        if item.known_s + load_s > item.last_useful_s:
            return False
        first = int((item.known_s - first_load_s) // load_s)
    for slot in range(last, first - 1, -1):
        if slot in tried:
            continue
        tried.add(slot)
        other = item_by_slot.get(slot)
        if other is None or _assign(other, item_by_slot, tried, first_load_s, load_s):
            item_by_slot[slot] = item
            return True
    return False
