"""Estimate when a queued request would be answered."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity available to the requests of one model or service.

    Attributes
    ----------
    slots : int
        Requests that the usable replicas can run concurrently.
    free_slots : int
        Of those, the slots that are free.
    load_left_s : float
        Time until a replica is ready if none is, in seconds.
    slots_per_replica : int
        Requests that one replica can run concurrently.
    """

    slots: int
    free_slots: int
    load_left_s: float
    slots_per_replica: int


def expected_answer_s(capacity, ahead, times, name, first_byte_only):
    """Estimate the time until a request is answered.

    Parameters
    ----------
    capacity : Capacity
    ahead : int
        Queued requests that run first.
    times : ServiceTimes
    name : str
        Model or service to which the times belong.
    first_byte_only : bool
        Whether the deadline applies to the first byte only.

    Returns
    -------
    float
        Seconds.
    """
    # The requests ahead take the mean on average, but this request may be one of the slow ones.
    service_s = times.expected_s(name)
    own_s = 0.0 if first_byte_only else times.conservative_s(name)
    if capacity.slots == 0:
        rounds = ahead / max(1, capacity.slots_per_replica)
        return capacity.load_left_s + rounds * service_s + own_s
    if ahead < capacity.free_slots:
        return own_s
    # Assume that slots become free at even intervals over the service time.
    return (ahead - capacity.free_slots + 1) * service_s / capacity.slots + own_s
