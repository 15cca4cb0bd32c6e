"""Record where streams began, and find it out for streams that clients resume.

A client may resume its stream at any entry, also after its first entry was lost. Control members
keep the origins in memory; a lost origin means only that its stream can't continue.
"""

import logging
import zlib
from dataclasses import dataclass

from hemlockdock_core.messages import FindStreamOrigin, StreamStarted
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.stream_origins import StreamOrigin, StreamOriginStore

logger = logging.getLogger(__name__)

# Several round trips to another failure domain, or one with a retransmission.
LOOKUP_TIMEOUT_S = 0.4
# Members that keep an origin: one of them may restart while another one is cut off.
ORIGIN_COPIES = 3


@dataclass(slots=True)
class PendingLookup:
    """A question to control members about one stream.

    Attributes
    ----------
    unanswered : set of str
        Ids of the members that have not answered yet.
    callback : callable
    timer : IDelayedCall
    """

    unanswered: set
    callback: object
    timer: object


@dataclass(frozen=True, slots=True)
class LookupResult:
    """What is known about where a stream began.

    Attributes
    ----------
    origin : StreamOrigin or None
    is_final : bool
        Whether another question could not find the origin either.
    """

    origin: StreamOrigin | None
    is_final: bool


class OriginLookup:
    """Record and find the origins of streams.

    Parameters
    ----------
    clock : twisted reactor
    node_id : str
    send : callable
        Takes an address and a message.
    """

    def __init__(self, clock, node_id, send):
        self._clock = clock
        self._send = send
        self._first_copy = zlib.crc32(node_id.encode())
        self._store = StreamOriginStore()
        self._pending_by_lookup = {}
        self._last_lookup = 0

    def record(self, request_id, origin, keep_ms, members):
        """Record where a stream began, here and at control members.

        Parameters
        ----------
        request_id : str
        origin : StreamOrigin
        keep_ms : int
            Time for which the client may still resume the stream.
        members : list of MemberAddress
        """
        self._store.record(request_id, origin, keep_ms, self._clock.seconds())
        message = StreamStarted(request_id, origin.pool, origin.software_version, keep_ms)
        for member in self._copy_holders(members):
            self._send(member.node_address, message)

    def find(self, question, members, callback):
        """Find out where a stream began.

        Parameters
        ----------
        question : OriginQuestion
        members : list of MemberAddress
        callback : callable
            Takes a LookupResult; called at once if the answer is known here.
        """
        origin = self._store.find(question.request_id, self._clock.seconds())
        if origin is not None:
            callback(LookupResult(origin, is_final=True))
            return
        if not members:
            callback(LookupResult(None, is_final=False))
            return
        self._last_lookup += 1
        lookup = self._last_lookup
        timer = self._clock.callLater(LOOKUP_TIMEOUT_S, self._on_timeout, lookup)
        unanswered = {member.member_id for member in members}
        self._pending_by_lookup[lookup] = PendingLookup(unanswered, callback, timer)
        message = FindStreamOrigin(lookup, question)
        for member in members:
            self._send(member.node_address, message)

    def on_reply(self, sender, reply):
        """Handle a control member's answer.

        Parameters
        ----------
        sender : str
            Member id.
        reply : StreamOriginReply
        """
        pending = self._pending_by_lookup.get(reply.lookup)
        if pending is None:
            return
        if reply.software_version:
            origin = StreamOrigin(reply.pool, reply.software_version)
            self._end(reply.lookup, LookupResult(origin, is_final=True))
            return
        pending.unanswered.discard(sender)
        if not pending.unanswered:
            self._end(reply.lookup, LookupResult(None, is_final=True))

    def _on_timeout(self, lookup):
        COUNTERS.increment("gateway_origin_lookups_timed_out")
        unanswered = sorted(self._pending_by_lookup[lookup].unanswered)
        logger.info("stream origin not found in time", extra={"unanswered": unanswered})
        self._end(lookup, LookupResult(None, is_final=False))

    def _end(self, lookup, result):
        pending = self._pending_by_lookup.pop(lookup)
        if pending.timer.active():
            pending.timer.cancel()
        pending.callback(result)

    def _copy_holders(self, members):
        if len(members) <= ORIGIN_COPIES:
            return members
        first = self._first_copy % len(members)
        return (members[first:] + members[:first])[:ORIGIN_COPIES]
