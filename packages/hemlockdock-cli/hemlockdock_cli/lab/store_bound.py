"""Bound the number of names that any schedule of the weight store could serve.

It assumes that all demand is known in advance, that an engine always has room, and that loads are
never lost, so that no real schedule does better.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AbsentModel:
    """A requested model that no host has.

    Attributes
    ----------
    model : str
    names : int
        Requested names that a load would make available: the model and its adapters.
    last_useful_s : float
        Latest end of a load that still serves a request.
    """

    model: str
    names: int
    last_useful_s: float


def most_names_served(models, first_load_s, load_s):
    """Return how many names of absent models a store that carries one load could serve.

    All loads take the same time, so that a schedule is a choice of models for consecutive slots;
    taking the models by their number of names, each in the latest free slot that still serves it,
    is optimal. That a model may be requested, or lost, only after a slot began, is disregarded.

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
    taken = set()
    served = 0
    for item in sorted(models, key=lambda item: (-item.names, item.model)):
        slot = int((item.last_useful_s - first_load_s) // load_s) - 1
        while slot in taken:
            slot -= 1
        if slot < 0:
            continue
        taken.add(slot)
        served += item.names
    return served
