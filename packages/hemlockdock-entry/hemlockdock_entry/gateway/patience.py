"""Decide how long a request may wait for its model, and when its client should come back.

It answers a load in which more models are asked for than fit: a request that can't be served in
its client's time is refused at once, with the time at which its model will be there.
"""

from dataclasses import dataclass

MS_PER_S = 1_000
# From the model's arrival to the first event: notice of it, the prompt, one step.
FIRST_EVENT_S = 0.25
# A client keeps a refused request back for at most this part of its remaining time.
MAX_RETRY_AFTER_FRACTION = 1 / 3
MIN_RETRY_AFTER_S = 0.2
# A model that nobody has decided on yet mostly gets its turn by then.
DEFAULT_RETRY_AFTER_S = 1.5
# From the time at which a model is expected to when it can be counted on.
READY_MARGIN_S = 0.2
RETRY_AFTER_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class Patience:
    """Hold until when a client waits for a first event.

    Attributes
    ----------
    until_s : float
    """

    until_s: float

    @classmethod
    def of(cls, route, fleet, received_s, deadline_s):
        """Reckon a client's patience.

        Parameters
        ----------
        route : RouteRow
        fleet : FleetSection
            With ``patience_ms``, ``patience_targets`` and ``patience_gaps``.
        received_s, deadline_s : float

        Returns
        -------
        Patience
        """
        patience_ms = max(
            fleet.patience_ms,
            fleet.patience_targets * route.target_ms,
            fleet.patience_gaps * route.gap_ms,
        )
        return cls(min(deadline_s, received_s + patience_ms / MS_PER_S))


def may_wait(patience, ready_s, now_s, least_s=0.0):
    """Tell whether a request should wait for a model that is ready at a time.

    Parameters
    ----------
    patience : Patience
    ready_s : float or None
        None where nobody knows yet.
    now_s : float
    least_s : float, optional
        Time in which the model can be there at the earliest, where nobody knows yet.

    Returns
    -------
    bool
    """
    if ready_s is None:
        ready_s = now_s + least_s
    return max(ready_s, now_s) + FIRST_EVENT_S < patience.until_s


def return_after_ms(deadline_s, ready_s, now_s, least_s=0.0):
    """Return when a refused client should come back.

    Parameters
    ----------
    deadline_s : float
    ready_s : float or None
        When its model will be there; None where nobody knows.
    now_s : float
    least_s : float, optional
        Time in which the model can be there at the earliest, where nobody knows.

    Returns
    -------
    int
    """
    longest_s = max(0.0, (deadline_s - now_s) * MAX_RETRY_AFTER_FRACTION - RETRY_AFTER_MARGIN_S)
    if ready_s is None:
        wanted_s = max(DEFAULT_RETRY_AFTER_S, least_s + READY_MARGIN_S)
    else:
        wanted_s = ready_s + READY_MARGIN_S - now_s
    return round(min(max(wanted_s, MIN_RETRY_AFTER_S), max(longest_s, 0.0)) * MS_PER_S)
