"""Write one response to its client: a refusal, a complete response, or a stream."""

from hemlockdock_core.errors import NotRun
from hemlockdock_core.metrics import LATENCIES
from hemlockdock_entry.gateway.event_stream import EventSplitter
from hemlockdock_entry.gateway.messages import (
    format_head,
    forwarded_headers,
    refusal_response,
    status_line,
)

MS_PER_S = 1_000
CONNECTION = b"connection"
LAST_CHUNK = b"0\r\n\r\n"
NO_DROPPED_HEADERS = frozenset()
LONG_BODY_BYTES = 16_384


class ResponseWriter:
    """Write one response to its client.

    Parameters
    ----------
    gateway : Gateway
    connection : ClientConnection
    request : ClientRequest

    Attributes
    ----------
    keep_alive : bool
        Whether the connection stays open after the response.
    started : bool
        Whether part of a streamed response was written.
    first_event_s, last_event_s : float or None
        Times at which a stream's first and latest events were written.
    longest_gap_s : float
        Longest time between two writes of a stream.
    """

    def __init__(self, gateway, connection, request):
        self.keep_alive = connection.keeps_alive(request)
        self.started = False
        self.first_event_s = None
        self.last_event_s = None
        self.longest_gap_s = 0.0
        self._gateway = gateway
        self._connection = connection
        self._request = request
        self._splitter = None

    @property
    def last_event_id(self):
        """Return the id of the stream's last complete event, or an empty value."""
        return b"" if self._splitter is None else self._splitter.last_id

    @property
    def event_count(self):
        """Return the number of complete events so far."""
        return 0 if self._splitter is None else self._splitter.event_count

    @property
    def has_partial_event(self):
        """Return whether the stream's last event is incomplete so far."""
        return self._splitter is not None and self._splitter.has_partial

    @property
    def partial_event_bytes(self):
        """Return the number of bytes that are buffered of an incomplete event."""
        return 0 if self._splitter is None else self._splitter.partial_bytes

    def discard_partial_event(self):
        """Discard the buffered incomplete event: another endpoint sends it again in full."""
        if self._splitter is not None:
            self._splitter.discard_partial()

    def write_refusal(self, refusal, request_id):
        """Write a refusal as an HTTP response.

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
        self._connection.write(refusal_response(refusal, headers))

    def write_response(self, head, body):
        """Write an endpoint's complete response.

        Parameters
        ----------
        head : ResponseHead
        body : bytes
        """
        headers = forwarded_headers(head.headers, head.value(CONNECTION), NO_DROPPED_HEADERS)
        headers.append((b"Content-Length", b"%d" % len(body)))
        headers.extend(self._connection_headers())
        head_bytes = format_head(status_line(head.status), headers)
        if len(body) > LONG_BODY_BYTES:
            # Not copied behind the head.
            self._connection.write(head_bytes)
            self._connection.write(body)
            return
        self._connection.write(head_bytes + body)

    def write_stream_data(self, head, data, route):
        """Write the complete events of a part of a stream.

        Parameters
        ----------
        head : ResponseHead
            Written before the first data.
        data : bytes
        route : RouteRow
        """
        if self._splitter is None:
            self._splitter = EventSplitter()
        data = self._splitter.feed(data)
        if not data:
            return
        self._record_event_time(route)
        if not self.started:
            self._start_stream(head)
        self._write_part(data)

    def end_stream(self, head):
        """Write the end of a stream.

        Parameters
        ----------
        head : ResponseHead
        """
        rest = b"" if self._splitter is None else self._splitter.flush()
        if not self.started:
            self._start_stream(head)
        if rest:
            self._write_part(rest)
        if self._request.accepts_chunks:
            self._connection.write(LAST_CHUNK)

    def _start_stream(self, head):
        self.started = True
        headers = forwarded_headers(head.headers, head.value(CONNECTION), NO_DROPPED_HEADERS)
        if self._request.accepts_chunks:
            headers.append((b"Transfer-Encoding", b"chunked"))
        else:
            # Only the end of the connection marks the end of the stream for this client.
            self.keep_alive = False
        headers.extend(self._connection_headers())
        self._connection.write(format_head(status_line(head.status), headers))

    def _write_part(self, data):
        self._connection.write(_chunk(data) if self._request.accepts_chunks else data)

    def _record_event_time(self, route):
        now_s = self._gateway.clock.seconds()
        if self.first_event_s is None:
            self.first_event_s = now_s
            waited_s = now_s - self._request.received_s
            LATENCIES.record("gateway_first_event", route.kind.value, waited_s)
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self.last_event_s)
        self.last_event_s = now_s

    def _connection_headers(self):
        self.keep_alive = self.keep_alive and not self._gateway.draining
        if not self.keep_alive:
            return [(b"Connection", b"close")]
        return [(b"Keep-Alive", b"timeout=%d" % self._gateway.keep_alive_s)]


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)
