"""Parse the pipelined requests of one client connection within the limits."""

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.gateway.messages import ClientRequest

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EXPECT = b"expect"
# What Python's objects for a header take beside its bytes.
HEADER_OVERHEAD_BYTES = 160
# Chunks of one byte take six bytes for each byte of the body.
MAX_FRAMING_FACTOR = 16


class RequestReader:
    """Parse the requests of one client connection.

    Parameters
    ----------
    gateway : Gateway
    on_request : callable
        Takes each complete ClientRequest, returns whether it is accepted.
    write : callable
        Writes an interim response.

    Attributes
    ----------
    in_message : bool
        Whether a request has begun and is incomplete.
    head_complete : bool
        Whether the head of that request is complete.
    held_bytes : int
        Memory that the incomplete request takes.
    progress_s : float
        Time at which bytes of it were last received.
    """

    def __init__(self, gateway, on_request, write):
        self._gateway = gateway
        self._on_request = on_request
        self._write = write
        self._parser = HttpRequestParser(self)
        self._headers = []
        self._target = b""
        self._body = bytearray()
        self._head_bytes = 0
        # Bytes since the last byte of the body: chunk extensions and trailers.
        self._idle_bytes = 0
        # All bytes received behind the head, to compare with those of the body.
        self._framed_bytes = 0
        self._refusal = None
        self.in_message = False
        self.head_complete = False
        self.held_bytes = 0
        self.progress_s = 0.0

    @property
    def is_receiving_body(self):
        """Return whether an incomplete body is being received."""
        return self.in_message and self.head_complete

    def feed(self, data):
        """Parse received bytes.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        Refusal or None
        """
        self.progress_s = self._gateway.clock.seconds()
        if not self.head_complete:
            self._head_bytes += len(data)
        was_receiving_body = self.is_receiving_body
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            return Refusal.of(ErrorKind.BAD_REQUEST, "no protocol upgrade is offered")
        except HttpParserError as error:
            if self._refusal is None:
                self._refusal = Refusal.of(ErrorKind.BAD_REQUEST, f"malformed request: {error}")
        if not self.head_complete and self._head_bytes > self._gateway.limits.header_bytes:
            return Refusal.of(ErrorKind.HEADER_TOO_LARGE, "the header is too large")
        if was_receiving_body and self.is_receiving_body and self._refusal is None:
            self._count_framing(len(data), len(self._body) > body_bytes)
        return self._refusal

    def discard(self):
        """Discard the incomplete request."""
        self._headers = []
        self._body = bytearray()
        self.held_bytes = 0
        self.in_message = False

    # Callbacks of the HTTP parser.

    def on_message_begin(self):
        """Reset the state for a new request."""
        self._headers = []
        self._target = b""
        self._body = bytearray()
        self.held_bytes = 0
        self.in_message = True
        self.head_complete = False

    def on_url(self, url):
        """Append to the request target."""
        self._target += url

    def on_header(self, name, value):
        """Store a header; trailers are not forwarded and therefore not stored."""
        if self.head_complete:
            return
        self._headers.append((name, value))
        self.held_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES

    def on_headers_complete(self):
        """Check the size of the head, and send 100 Continue if the client expects it."""
        self.head_complete = True
        self._head_bytes = 0
        self._idle_bytes = 0
        self._framed_bytes = 0
        size = len(self._target) + sum(len(name) + len(value) for name, value in self._headers)
        if size > self._gateway.limits.header_bytes:
            self._fail(Refusal.of(ErrorKind.HEADER_TOO_LARGE, "the header is too large"))
        for name, value in self._headers:
            if name.lower() == EXPECT and value.lower() == b"100-continue":
                self._write(CONTINUE)

    def on_body(self, data):
        """Append to the body, up to the size limit."""
        if len(self._body) + len(data) > self._gateway.limits.body_bytes:
            self._fail(Refusal.of(ErrorKind.TOO_LARGE, "the body is too large"))
        # One growing buffer, as a list of small parts takes far more memory.
        self._body += data
        self.held_bytes += len(data)

    def on_message_complete(self):
        """Pass on the complete request."""
        self.in_message = False
        self.head_complete = False
        request = ClientRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            {name.lower(): value for name, value in self._headers},
            self._body,
            self._parser.should_keep_alive(),
            self._gateway.clock.seconds(),
            self._parser.get_http_version(),
            self.held_bytes,
        )
        self._headers = []
        self._body = bytearray()
        self.held_bytes = 0
        if self._refusal is None:
            self._refusal = self._on_request(request)

    def _count_framing(self, received_bytes, has_body):
        # The parser reports neither chunk extensions nor, while their line is incomplete, trailers.
        limit = self._gateway.limits.header_bytes
        self._idle_bytes = 0 if has_body else self._idle_bytes + received_bytes
        self._framed_bytes += received_bytes
        allowed_bytes = limit + MAX_FRAMING_FACTOR * len(self._body)
        if self._idle_bytes > limit or self._framed_bytes > allowed_bytes:
            COUNTERS.increment("gateway_framing_refused")
            message = "chunk extensions or trailers are too long"
            self._refusal = Refusal.of(ErrorKind.HEADER_TOO_LARGE, message)

    def _fail(self, refusal):
        self._refusal = refusal
        raise ValueError(refusal.message)
