"""Decide how long a request may wait for its model, and when a refused client should retry.

This handles loads that demand more models than fit in memory: a request that can't be served within
its client's patience is refused immediately, with the time at which its model will be loaded.
"""

from dataclasses import dataclass

from hemlockdock_entry.retry_after import MAX_RETRY_AFTER_FRACTION

MS_PER_S = 1_000
# Time from the end of a model load to the first event: notification, prefill and one decode step.
FIRST_EVENT_S = 0.25
MIN_RETRY_AFTER_S = 0.2
# A model whose load is not decided yet is usually scheduled within this time.
DEFAULT_RETRY_AFTER_S = 1.5
# Margin after the expected end of a model load until the model is reliably available.
READY_MARGIN_S = 0.2
RETRY_AFTER_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class Patience:
    """Time until which a client waits for the first event, or for the next one of a stream.

    Attributes
    ----------
    until_s : float
    """

    until_s: float

    @classmethod
    def of(cls, route, fleet, since_s, deadline_s):
        """Compute the patience of a client.

        Parameters
        ----------
        route : RouteRow
        fleet : FleetSection
            Provides ``patience_ms``, ``patience_targets`` and ``patience_gaps``.
        since_s : float
            Time of the request, or of the latest event that the client received.
        deadline_s : float

        Returns
        -------
        Patience
        """
        patience_ms = max(
            fleet.patience_ms,
            fleet.patience_targets * route.target_ms,
            fleet.patience_gaps * route.gap_ms,
        )
        return cls(min(deadline_s, since_s + patience_ms / MS_PER_S))

    def left_s(self, now_s):
        """Return how long a request may wait for an endpoint that has its model.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float
            Negative if it has waited for too long.
        """
        return self.until_s - FIRST_EVENT_S - now_s


def may_wait(patience, ready_s, now_s, least_s=0.0):
    """Return whether a request should wait for a model.

    Parameters
    ----------
    patience : Patience
    ready_s : float or None
        Time at which the model will be loaded; None if unknown.
    now_s : float
    least_s : float, optional
        Minimum load time, used if ``ready_s`` is None.

    Returns
    -------
    bool
    """
    if ready_s is None:
        ready_s = now_s + least_s
    return max(0.0, ready_s - now_s) < patience.left_s(now_s)


def retry_after_ms(deadline_s, ready_s, now_s, least_s=0.0):
    """Return the delay after which a refused client should retry, in milliseconds.

    Parameters
    ----------
    deadline_s : float
    ready_s : float or None
        Time at which the model will be loaded; None if unknown.
    now_s : float
    least_s : float, optional
        Minimum load time, used if ``ready_s`` is None.

    Returns
    -------
    int
    """
    longest_s = longest_retry_after_s(deadline_s, now_s)
    if ready_s is None:
        wanted_s = max(DEFAULT_RETRY_AFTER_S, least_s + READY_MARGIN_S)
    else:
        wanted_s = ready_s + READY_MARGIN_S - now_s
    return round(min(max(wanted_s, MIN_RETRY_AFTER_S), longest_s) * MS_PER_S)


def longest_retry_after_s(deadline_s, now_s):
    """Return the longest delay after which a refused client would retry, in seconds.

    Parameters
    ----------
    deadline_s, now_s : float

    Returns
    -------
    float
    """
    return max(0.0, (deadline_s - now_s) * MAX_RETRY_AFTER_FRACTION - RETRY_AFTER_MARGIN_S)
