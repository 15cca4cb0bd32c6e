"""Keep where streams began, and infer it for streams of which nothing was recorded."""

from hemlockdock_control.fleet.version_history import VersionHistory
from hemlockdock_core.messages import StreamOriginReply
from hemlockdock_core.stream_origins import StreamOrigin, StreamOriginStore

MS_PER_S = 1_000
UNKNOWN_ORIGIN = StreamOrigin("", "")


class StreamOrigins:
    """Origins of streams, as one control member knows them.

    Each member keeps what entries send it, whether it leads or not. Only the leader infers.

    Parameters
    ----------
    replicator : Replicator
    machine : ClusterStateMachine
    clock : twisted reactor
    """

    def __init__(self, replicator, machine, clock):
        self._replicator = replicator
        self._machine = machine
        self._clock = clock
        self._store = StreamOriginStore()
        self._version_history = VersionHistory()

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

    def maintain(self):
        """Remove expired origins, and record the software versions that are present."""
        self._store.remove_expired(self._clock.seconds())
        self._record_versions()

    def _only_origin(self, question):
        """Return the origin of all streams that began in the question's window, if it is one."""
        now_s = self._clock.seconds()
        self._record_versions()
        # Another member may not have heard of the newest endpoints yet.
        if not self._replicator.has_lease:
            return UNKNOWN_ORIGIN
        window_s = question.window_ms / MS_PER_S
        version = self._version_history.only_version(question.pool, now_s, window_s)
        return StreamOrigin(question.pool, version) if version else UNKNOWN_ORIGIN

    def _record_versions(self):
        self._version_history.update(self._machine.state.endpoints, self._clock.seconds())
