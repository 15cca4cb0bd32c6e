"""Answer one caller over HTTP."""

import msgspec

from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.callers.write import write_refusal
from hemlockdock_entry.streams import EventMarker

EVENT_STREAM = "text/event-stream"


class HttpReply:
    """Answer one caller over HTTP.

    Server-sent events are passed on as they come, each with its id; anything else is passed on
    whole, so that a try that fails half-way leaves nothing behind.

    Parameters
    ----------
    http_request : twisted.web.server.Request
    clock : twisted reactor or Clock
    request_id : str
    stall_s : float
        Time a caller may leave its connection full before it is taken for gone.
    on_gone : callable, optional
        Called when the caller closes the connection.

    Attributes
    ----------
    passed : bool
        Whether the caller has got bytes of an answer.
    """

    def __init__(self, http_request, clock, request_id, stall_s, on_gone=None):
        self.passed = False
        self.on_gone = on_gone
        self._http = http_request
        self._clock = clock
        self._stall_s = stall_s
        self._request_id = request_id
        self._gone = False
        self._ended = False
        self._head = None
        self._marker = None
        self._parts = []
        self._full_call = None
        http_request.notifyFinish().addErrback(self._connection_lost)

    def head(self, status, content_type, place):
        """Take the start of an answer.

        Parameters
        ----------
        status : int
        content_type : str
        place : StreamPlace
            Of the first byte that follows.
        """
        if self.passed:
            return
        self._head = (status, content_type, place)
        if content_type.startswith(EVENT_STREAM):
            self._marker = EventMarker(place.stream_id, place.offset)

    def data(self, data):
        """Take the next bytes of the answer.

        Parameters
        ----------
        data : bytes
        """
        if self._marker is None:
            self._parts.append(data)
            return
        events = self._marker.feed(data)
        if events and not self._gone:
            self._begin_stream()
            self._http.write(events)

    def end(self):
        """Pass on the end of a whole answer."""
        if self._gone:
            return
        self._ended = True
        if self._marker is None:
            self._send_whole(b"".join(self._parts))
            return
        self._begin_stream()
        rest = self._marker.finish()
        if rest:
            self._http.write(rest)
        self._finish()

    def refuse(self, refusal):
        """Pass on a refusal, as a typed event where the stream has begun.

        Parameters
        ----------
        refusal : Refusal
        """
        if self._gone:
            return
        self._ended = True
        body = msgspec.json.encode(refusal.body())
        if self.passed:
            self._http.write(b"event: error\ndata: " + body + b"\n\n")
            self._finish()
            return
        write_refusal(self._http, refusal, self._request_id)

    def reset(self):
        """Forget a failed try of which nothing was passed on."""
        self._head = None
        self._marker = None
        self._parts = []

    def pauseProducing(self):
        """Take that the caller reads too slowly."""
        if self._full_call is None:
            self._full_call = self._clock.callLater(self._stall_s, self._drop_slow_caller)

    def resumeProducing(self):
        """Take that the caller reads again."""
        if self._full_call is not None:
            self._full_call.cancel()
            self._full_call = None

    def stopProducing(self):
        """Do nothing; the lost connection is reported by itself."""

    def _drop_slow_caller(self):
        self._full_call = None
        COUNTERS.increment("entry_slow_callers_dropped")
        self._http.transport.abortConnection()

    def _begin_stream(self):
        if self.passed:
            return
        self.passed = True
        status, content_type, place = self._head
        self._http.setResponseCode(status)
        self._set_header("content-type", content_type)
        self._set_header("cache-control", "no-cache")
        self._set_header("x-request-id", self._request_id)
        self._set_header("x-stream-id", place.stream_id)
        self._http.registerProducer(self, True)

    def _send_whole(self, body):
        status, content_type, place = self._head
        self._http.setResponseCode(status)
        self._set_header("content-type", content_type)
        self._set_header("x-request-id", self._request_id)
        self._set_header("content-length", str(len(body)))
        self.passed = True
        self._http.write(body)
        self._http.finish()

    def _finish(self):
        self.resumeProducing()
        self._http.unregisterProducer()
        self._http.finish()

    def _set_header(self, name, value):
        self._http.setHeader(name.encode(), value.encode())

    def _connection_lost(self, failure):
        self._gone = True
        self.resumeProducing()
        if self.on_gone is not None and not self._ended:
            self.on_gone()
