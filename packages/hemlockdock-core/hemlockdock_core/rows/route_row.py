"""Routing table row of a route, which maps requests to pools of endpoints."""

from enum import StrEnum

import msgspec

from hemlockdock_core.rows.base import BaseRow


class RouteKind(StrEnum):
    """Which requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class WeightedPool(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A pool of a route and its weight.

    Attributes
    ----------
    pool : str
    weight : float
        Share of the route's requests, relative to the weights of its other pools.
    """

    pool: str
    weight: float


class RouteRow(BaseRow, frozen=True):
    """A route from a host name and path prefix to pools of endpoints.

    Attributes
    ----------
    name : str
    host : str
        ``Host`` header of its requests.
    prefix : str
        Prefix of the path of its requests; the longest matching prefix wins.
    kind : RouteKind
    timeout_ms : int
        Maximum time for which a request waits.
    target_ms : int
        Latency up to which a response keeps its full value; for streams, of the first event.
    urgency : int
        0 is the highest urgency.
    pools : tuple of WeightedPool
    most_endpoints : int
        Maximum number of endpoints to which one request may be sent.
    has_sessions : bool
        Whether requests share parts of their prompts.
    resumable : bool
        Whether a stream may be resumed at another endpoint.
    gap_ms : int
        Maximum gap between events for which a stream counts as on time; 0 for no limit.
    is_public : bool
        Whether its requests need no customer's key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    urgency: int
    pools: tuple[WeightedPool, ...]
    most_endpoints: int = 1
    has_sessions: bool = False
    resumable: bool = False
    gap_ms: int = 0
    is_public: bool = False

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"route/{self.name}"

    @property
    def scope(self):
        """Return the host and the path prefix, which tell the route's requests from others."""
        return f"{self.host}{self.prefix}"

    @property
    def may_repeat(self):
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT
