"""Record in an endpoint's health how an attempt at it ended."""

from hemlockdock_entry.gateway.outcome import TryOutcome

# An endpoint is avoided for this long after it had no capacity or accepted no connection.
FULL_PAUSE_S = 0.25


def record_try(health, outcome, now_s):
    """Record an attempt that produced no usable response.

    Parameters
    ----------
    health : EndpointHealth
    outcome : TryOutcome
    now_s : float
    """
    if outcome is TryOutcome.WITHHELD:
        return
    if outcome in (TryOutcome.NOT_RUN, TryOutcome.NOT_SENT):
        health.record_full(now_s, FULL_PAUSE_S)
    if outcome is not TryOutcome.NOT_RUN:
        health.record_failure(now_s)
