"""Estimate when a waiting request would be answered."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Capacity:
    """Describe what could run a model's requests.

    Attributes
    ----------
    slots : int
        Requests that usable replicas run at once.
    free_slots : int
        Of them, those that are free.
    load_left_s : float
        Time until a replica is ready where none is, in seconds.
    slots_per_replica : int
        Requests that one replica runs at once.
    """

    slots: int
    free_slots: int
    load_left_s: float
    slots_per_replica: int


def expected_answer_s(capacity, ahead, times, name, first_byte_only):
    """Estimate the time from now to a request's answer.

    Parameters
    ----------
    capacity : Capacity
    ahead : int
        Waiting requests that go first.
    times : ServiceTimes
    name : str
        Model or service that the times are of.
    first_byte_only : bool
        Whether the deadline is for the first byte.

    Returns
    -------
    float
        Seconds.
    """
    # Others take the mean on average, but this very request may be one of the slow ones.
    service_s = times.expected_s(name)
    own_s = 0.0 if first_byte_only else times.conservative_s(name)
    if capacity.slots == 0:
        rounds = ahead / max(1, capacity.slots_per_replica)
        return capacity.load_left_s + rounds * service_s + own_s
    if ahead < capacity.free_slots:
        return own_s
    # Slots free up evenly over the service time.
    return (ahead - capacity.free_slots + 1) * service_s / capacity.slots + own_s
