"""Write one response to a caller over HTTP."""

import msgspec

from hemlockdock_core.errors import status_without_promise
from hemlockdock_core.http.event_end import is_event_stream
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.callers.responses import write_refusal
from hemlockdock_entry.streams import EventIdInserter


class HttpReply:
    """Write one response to a caller over HTTP.

    Server-sent events are forwarded as they arrive, each with an ID. Any other response is
    buffered and sent at its end, so that an attempt that fails midway sends nothing.

    Parameters
    ----------
    http_request : twisted.web.server.Request
    clock : twisted reactor or Clock
    request_id : str
    stall_s : float
        Time the caller may leave the send buffer full before its connection is aborted.
    on_disconnect : callable, optional
        Called when the connection is lost before the response has ended.

    Attributes
    ----------
    has_started : bool
        Whether any bytes of a response were sent to the caller.
    """

    def __init__(self, http_request, clock, request_id, stall_s, on_disconnect=None):
        self.has_started = False
        self.on_disconnect = on_disconnect
        self._http = http_request
        self._clock = clock
        self._stall_s = stall_s
        self._request_id = request_id
        self._disconnected = False
        self._ended = False
        self._head = None
        self._inserter = None
        self._parts = []
        self._stall_timer = None
        http_request.notifyFinish().addErrback(self._connection_lost)

    def head(self, status, content_type, position):
        """Handle the head of a response.

        Parameters
        ----------
        status : int
            As the engine gave it; the caller gets one that doesn't promise "not run".
        content_type : str
        position : StreamPosition
            Position of the first byte that follows.
        """
        if self.has_started:
            return
        self._head = (status_without_promise(status), content_type, position)
        if is_event_stream(content_type):
            self._inserter = EventIdInserter(position.stream_id, position.offset)

    def data(self, data):
        """Handle the next bytes of the response.

        Parameters
        ----------
        data : bytes
        """
        if self._inserter is None:
            self._parts.append(data)
            return
        events = self._inserter.feed(data)
        if events and not self._disconnected:
            self._start_stream()
            self._http.write(events)

    def end(self):
        """Complete the response."""
        if self._disconnected:
            return
        self._ended = True
        if self._inserter is None:
            self._send_buffered(b"".join(self._parts))
            return
        self._start_stream()
        rest = self._inserter.flush()
        if rest:
            self._http.write(rest)
        self._finish()

    def refuse(self, refusal):
        """Send a refusal, as an ``error`` event if the stream has already started.

        Parameters
        ----------
        refusal : Refusal
        """
        if self._disconnected:
            return
        self._ended = True
        body = msgspec.json.encode(refusal.body())
        if self.has_started:
            self._http.write(b"event: error\ndata: " + body + b"\n\n")
            self._finish()
            return
        write_refusal(self._http, refusal, self._request_id)

    def reset(self):
        """Discard what a failed attempt buffered; none of it was sent."""
        self._head = None
        self._inserter = None
        self._parts = []

    def pauseProducing(self):
        """Start the stall timer, since the send buffer is full."""
        if self._stall_timer is None:
            self._stall_timer = self._clock.callLater(self._stall_s, self._drop_slow_caller)

    def resumeProducing(self):
        """Cancel the stall timer, since the send buffer has drained."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def stopProducing(self):
        """Do nothing; ``notifyFinish`` reports the lost connection."""

    def _drop_slow_caller(self):
        self._stall_timer = None
        COUNTERS.increment("entry_slow_callers_dropped")
        self._http.transport.abortConnection()

    def _start_stream(self):
        if self.has_started:
            return
        self.has_started = True
        status, content_type, position = self._head
        self._http.setResponseCode(status)
        self._set_header("content-type", content_type)
        self._set_header("cache-control", "no-cache")
        self._set_header("x-request-id", self._request_id)
        self._set_header("x-stream-id", position.stream_id)
        self._http.registerProducer(self, True)

    def _send_buffered(self, body):
        status, content_type, position = self._head
        self._http.setResponseCode(status)
        self._set_header("content-type", content_type)
        self._set_header("x-request-id", self._request_id)
        self._set_header("content-length", str(len(body)))
        self.has_started = True
        self._http.write(body)
        self._http.finish()

    def _finish(self):
        self.resumeProducing()
        self._http.unregisterProducer()
        self._http.finish()

    def _set_header(self, name, value):
        self._http.setHeader(name.encode(), value.encode())

    def _connection_lost(self, failure):
        self._disconnected = True
        self.resumeProducing()
        if self.on_disconnect is not None and not self._ended:
            self.on_disconnect()
