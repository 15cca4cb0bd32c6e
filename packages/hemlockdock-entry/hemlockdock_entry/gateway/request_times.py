"""Derive a request's times from its route and from what its client says."""

from dataclasses import dataclass

from hemlockdock_entry.retry_after import MAX_RETRY_AFTER_FRACTION

MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class RequestTimes:
    """Times of one request.

    Attributes
    ----------
    deadline_s : float
    target_s : float
        Time until which the response, or a stream's first event, meets the route's target.
    waited_ms : int
        Time for which the client waited before this request, judging by its time left; 0 for a
        client that has more left than one that was sent back for as long as possible. Clients have
        limits of their own, somewhat below the route's timeout.
    client_left_ms : int or None
        Time for which the client waits from now on; None if it does not tell.
    """

    deadline_s: float
    target_s: float
    waited_ms: int
    client_left_ms: int | None

    @classmethod
    def of(cls, route, received_s, time_left):
        """Compute the times of a request.

        Parameters
        ----------
        route : RouteRow
        received_s : float
        time_left : bytes
            The client's time left in milliseconds, as sent; empty or invalid if it does not tell.

        Returns
        -------
        RequestTimes
        """
        limit_ms = route.timeout_ms
        client_left_ms = None
        if time_left.strip().isdigit():
            client_left_ms = int(time_left)
            limit_ms = min(limit_ms, client_left_ms)
        has_returned = limit_ms <= (1.0 - MAX_RETRY_AFTER_FRACTION) * route.timeout_ms
        waited_ms = route.timeout_ms - limit_ms if has_returned else 0
        return cls(
            received_s + limit_ms / MS_PER_S,
            received_s + (route.target_ms - waited_ms) / MS_PER_S,
            waited_ms,
            client_left_ms,
        )

    @property
    def is_first_request(self):
        """Return whether this is the client's first request."""
        return self.waited_ms == 0
