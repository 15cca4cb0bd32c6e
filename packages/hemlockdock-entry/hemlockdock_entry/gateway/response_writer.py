"""Write one answer to its client: a refusal, a whole answer, or a stream as it comes."""

from hemlockdock_core.errors import NotRun
from hemlockdock_core.metrics import LATENCIES
from hemlockdock_entry.gateway.event_stream import EventSplitter
from hemlockdock_entry.gateway.messages import (
    format_head,
    passed_headers,
    refusal_answer,
    status_line,
)

MS_PER_S = 1_000
CONNECTION = b"connection"
LAST_CHUNK = b"0\r\n\r\n"
NO_DROPPED_HEADERS = frozenset()


class ResponseWriter:
    """Write one answer to its client.

    Parameters
    ----------
    gateway : Gateway
    connection : ClientConnection
    request : ClientRequest

    Attributes
    ----------
    keep_alive : bool
        Whether the connection stays open after the answer.
    started : bool
        Whether the client got a part of an answer.
    first_event_s : float or None
        When a stream's first event was written.
    longest_gap_s : float
        Longest pause between two writes of a stream.
    """

    def __init__(self, gateway, connection, request):
        self.keep_alive = connection.keeps_alive(request)
        self.started = False
        self.first_event_s = None
        self.longest_gap_s = 0.0
        self._gateway = gateway
        self._connection = connection
        self._request = request
        self._splitter = None
        self._last_event_s = 0.0

    @property
    def last_event_id(self):
        """Return the id of the last whole event of a resumable stream, empty before the first."""
        return b"" if self._splitter is None else self._splitter.last_event_id

    @property
    def has_partial_event(self):
        """Tell whether a part of an event is held back."""
        return self._splitter is not None and self._splitter.has_partial

    def discard_partial_event(self):
        """Forget the part of an event that is held back: another endpoint sends it whole."""
        if self._splitter is not None:
            self._splitter.discard_partial()

    def write_refusal(self, refusal, request_id):
        """Write a refusal.

        Parameters
        ----------
        refusal : Refusal
        request_id : bytes
        """
        headers = []
        if request_id:
            headers.append((self._gateway.headers.request_id, request_id))
        if refusal.retry_after_ms is not None and refusal.not_run is NotRun.TRUE:
            seconds = b"%.2f" % (refusal.retry_after_ms / MS_PER_S)
            headers.append((b"Retry-After", seconds))
        headers.extend(self._connection_headers())
        self._connection.write(refusal_answer(refusal, headers))

    def write_response(self, head, body):
        """Write an endpoint's whole answer.

        Parameters
        ----------
        head : ResponseHead
        body : bytes
        """
        headers = passed_headers(head.headers, head.value(CONNECTION), NO_DROPPED_HEADERS)
        headers.append((b"Content-Length", b"%d" % len(body)))
        headers.extend(self._connection_headers())
        self._connection.write(format_head(status_line(head.status), headers) + body)

    def write_stream_data(self, head, data, route):
        """Write a part of a stream; of a resumable one, only whole events.

        Parameters
        ----------
        head : ResponseHead
            Written before the first part.
        data : bytes
        route : RouteRow
        """
        if route.resumable:
            if self._splitter is None:
                self._splitter = EventSplitter()
            data = self._splitter.feed(data)
            if not data:
                return
        self._record_event_time(route)
        if self.started:
            self._connection.write(_chunk(data))
            return
        self._start_stream(head, data)

    def end_stream(self, head):
        """Write a stream's end.

        Parameters
        ----------
        head : ResponseHead
        """
        if not self.started:
            self._start_stream(head, b"")
        self._connection.write(LAST_CHUNK)

    def _start_stream(self, head, data):
        self.started = True
        headers = passed_headers(head.headers, head.value(CONNECTION), NO_DROPPED_HEADERS)
        headers.append((b"Transfer-Encoding", b"chunked"))
        headers.extend(self._connection_headers())
        first = format_head(status_line(head.status), headers)
        self._connection.write(first + _chunk(data) if data else first)

    def _record_event_time(self, route):
        now_s = self._gateway.clock.seconds()
        if self.first_event_s is None:
            self.first_event_s = now_s
            waited_s = now_s - self._request.received_s
            LATENCIES.record("gateway_first_event", route.kind.value, waited_s)
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self._last_event_s)
        self._last_event_s = now_s

    def _connection_headers(self):
        self.keep_alive = self.keep_alive and not self._gateway.draining
        if not self.keep_alive:
            return [(b"Connection", b"close")]
        return [(b"Keep-Alive", b"timeout=%d" % self._gateway.keep_alive_s)]


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)
