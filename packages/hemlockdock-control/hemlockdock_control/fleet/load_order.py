"""Order in which models that requests wait for are loaded.

Models whose earliest latency target can still be met come first, ordered by urgency and then by
target, as that order meets the most targets. Of the others, those that a host can load come before
those that the store has to deliver: the store carries few loads of some seconds each, and which of
them serves the most callers is decided not by the requests that wait now, but by how many came
lately. That holds for a model that only the store has as for one whose hosts have no engine with
room.
"""

from dataclasses import dataclass

from hemlockdock_control.fleet.demand import AggregatedDemand
from hemlockdock_core.rows import ModelSpec


@dataclass(frozen=True, slots=True)
class AwaitedModel:
    """A model that lacks copies and that clients wait for, or are going to ask for.

    Attributes
    ----------
    spec : ModelSpec
    use : AggregatedDemand
    is_on_host : bool
        Whether some host has the weights.
    earliest_event_s : float
        Earliest time of a response's first event, if a load starts now.
    is_fallback : bool
        Whether the store may deliver it because none of the hosts with the weights can load it.
    """

    spec: ModelSpec
    use: AggregatedDemand
    is_on_host: bool
    earliest_event_s: float
    is_fallback: bool = False


def load_order(awaited, now_s):
    """Return awaited models in the order in which loads are decided.

    Parameters
    ----------
    awaited : iterable of AwaitedModel
    now_s : float

    Returns
    -------
    list of AwaitedModel
    """
    return sorted(awaited, key=lambda item: _rank(item, now_s))


def _rank(item, now_s):
    if item.is_fallback:
        return _store_rank(item, now_s)
    target_s = item.use.earliest_target_s(item.earliest_event_s)
    if target_s is not None:
        return (0, item.use.urgency, target_s, item.spec.name)
    if item.is_on_host:
        wanted = item.use.waiting + item.use.returning
        return (1, item.use.urgency, -wanted, item.spec.name)
    return _store_rank(item, now_s)


def _store_rank(item, now_s):
    return (2, 0, -item.use.lately_asked(now_s), item.spec.name)
