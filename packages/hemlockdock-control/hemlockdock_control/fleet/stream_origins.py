"""Keep where streams began, and infer it for streams of which nothing was recorded."""

from hemlockdock_core.messages import StreamOriginReply
from hemlockdock_core.stream_origins import MAX_KEEP_MS, StreamOrigin, StreamOriginStore
from hemlockdock_core.wall_clock import wall_ms

UNKNOWN_ORIGIN = StreamOrigin("", "")


class StreamOrigins:
    """Origins of streams, as one control member knows them.

    Each member keeps what entries send it, whether it leads or not. Only the leader infers: if the
    stream's route led to one pool only, and that pool had one software version only, for as long as
    any client may have waited, the stream began there.

    Parameters
    ----------
    replicator : Replicator
    machine : ClusterStateMachine
    clock : twisted reactor
    wall_ms : callable, optional
        Returns the wall-clock time, in milliseconds.
    """

    def __init__(self, replicator, machine, clock, wall_ms=wall_ms):
        self._replicator = replicator
        self._machine = machine
        self._clock = clock
        self._wall_ms = wall_ms
        self._store = StreamOriginStore()

    def record(self, message):
        """Record where a stream began.

        Parameters
        ----------
        message : StreamStarted
        """
        origin = StreamOrigin(message.pool, message.software_version)
        now_s = self._clock.seconds()
        self._store.record(message.request_id, origin, message.keep_ms, now_s)

    def reply_to(self, message):
        """Return the reply to an entry's question.

        Parameters
        ----------
        message : FindStreamOrigin

        Returns
        -------
        StreamOriginReply
        """
        origin = self._store.find(message.question.request_id, self._clock.seconds())
        if origin is None:
            origin = self._only_origin(message.question)
        return StreamOriginReply(message.lookup, origin.pool, origin.software_version)

    def remove_expired(self):
        """Remove the origins whose clients no longer come back."""
        self._store.remove_expired(self._clock.seconds())

    def _only_origin(self, question):
        """Return the origin of all streams of the route that may be resumed, if it is one."""
        # Without a valid lease, changes that others have committed may not be applied here yet.
        if not question.route_scope or not self._replicator.has_lease:
            return UNKNOWN_ORIGIN
        since_ms = self._wall_ms() - MAX_KEEP_MS
        state = self._machine.state
        pools = state.routes.pools_since(question.route_scope, since_ms)
        if pools is None or len(pools) != 1:
            return UNKNOWN_ORIGIN
        pool = pools.pop()
        versions = state.endpoints.versions_since(pool, since_ms)
        if versions is None or len(versions) != 1:
            return UNKNOWN_ORIGIN
        version = versions.pop()
        return StreamOrigin(pool, version) if version else UNKNOWN_ORIGIN
