"""Record in an endpoint's health how an attempt at it ended."""

from hemlockdock_entry.gateway.outcome import TryOutcome

# An endpoint is avoided for this long after it had no capacity or accepted no connection.
FULL_PAUSE_S = 0.25


def record_try(gateway, endpoint_id, outcome):
    """Record an attempt that produced no usable response.

    Parameters
    ----------
    gateway : Gateway
    endpoint_id : str
    outcome : TryOutcome
    """
    if outcome is TryOutcome.WITHHELD:
        return
    if outcome in (TryOutcome.NOT_RUN, TryOutcome.NOT_SENT):
        gateway.gate.record_full(endpoint_id, FULL_PAUSE_S)
    if outcome is not TryOutcome.NOT_RUN:
        gateway.health.for_endpoint(endpoint_id).record_failure(gateway.clock.seconds())
