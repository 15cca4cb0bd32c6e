"""Bind a request to the software version at which its stream began."""

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import OriginQuestion
from hemlockdock_core.rows import RouteKind
from hemlockdock_core.stream_origins import MAX_KEEP_MS

# A client that resumes its stream as late as it may still finds out where it began.
ORIGIN_KEEP_MARGIN_MS = 1_000
# Another entry or a later question may find the origin of a stream that this one did not.
ORIGIN_RETRY_MS = 300


class StreamBinding:
    """The version to which one request is bound.

    Parameters
    ----------
    gateway : Gateway
    exchange : ProxyExchange

    Attributes
    ----------
    origin : StreamOrigin or None
        Where the stream began that the request continues; None until its first event.
    has_started : bool
        Whether this request has brought its client a first event.
    """

    def __init__(self, gateway, exchange):
        self._gateway = gateway
        self._exchange = exchange
        self._on_bound = None
        self.origin = None
        self.has_started = False

    @property
    def is_resumption(self):
        """Return whether the client resumes a stream that an earlier request began."""
        exchange = self._exchange
        if exchange.route.kind is not RouteKind.STREAM:
            return False
        last_event_id = exchange.request.header(self._gateway.headers.last_event_id)
        return bool(last_event_id or exchange.content.resumed_request_id)

    def find(self, on_bound):
        """Bind the request to the version that began its stream, or refuse it.

        Parameters
        ----------
        on_bound : callable
            Called without arguments once the origin is known.
        """
        self._on_bound = on_bound
        pools = self._route_pools()
        question = OriginQuestion(
            self._exchange.content.resumed_request_id.decode("latin-1"),
            pools[0] if len(pools) == 1 else "",
            MAX_KEEP_MS,
            self._exchange.route.scope,
        )
        members = self._gateway.origin_members
        self._gateway.origin_lookup.find(question, members, self._on_result)

    def start(self, origin):
        """Bind the request to the endpoint that sent its first event, and record this.

        Parameters
        ----------
        origin : StreamOrigin
        """
        exchange = self._exchange
        self.has_started = True
        self.origin = origin
        if not exchange.route.resumable or not origin.software_version:
            return
        keep_ms = MAX_KEEP_MS
        if exchange.client_left_ms is not None:
            keep_ms = exchange.client_left_ms + ORIGIN_KEEP_MARGIN_MS
        request_id = exchange.content.request_id.decode("latin-1")
        members = self._gateway.origin_members
        self._gateway.origin_lookup.record(request_id, origin, keep_ms, members)

    def _route_pools(self):
        return [target.pool for target in self._exchange.route.pools if target.weight > 0]

    def _on_result(self, result):
        exchange = self._exchange
        if exchange.ended:
            return
        if result.origin is None:
            retry_ms = None if result.is_final else ORIGIN_RETRY_MS
            why = "it is not known at which software version the stream began"
            kind = ErrorKind.STREAM_ORIGIN_UNKNOWN
            exchange.refuse(Refusal.of(kind, why, retry_after_ms=retry_ms))
            return
        self.origin = result.origin
        if self.origin.pool not in self._route_pools():
            exchange.refuse_continuation()
            return
        self._on_bound()
