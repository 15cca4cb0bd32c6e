"""Parsing of HTTP/1.1 responses from a connection's bytes."""

from dataclasses import dataclass
from enum import Enum

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CONNECTION = b"connection"
KEEP_ALIVE = b"keep-alive"
LOWEST_STATUS = 100
LOWEST_FINAL_STATUS = 200
HIGHEST_STATUS = 599
# Head, interim responses, chunk sizes and trailers, between two parts of a body.
MAX_OVERHEAD_BYTES = 65_536
# Many short headers take many times the memory of their bytes.
MAX_HEADERS = 512
STATUSES_WITHOUT_BODY = (204, 304)


class MalformedResponseError(Exception):
    """Received bytes that are not a valid HTTP/1.1 response."""


class Framing(Enum):
    """What marks the end of a response's body.

    Attributes
    ----------
    LENGTH
    CHUNKS
    NO_BODY
        The status rules out a body.
    CONNECTION_END
        The body extends to the end of the connection.
    """

    LENGTH = "length"
    CHUNKS = "chunks"
    NO_BODY = "no_body"
    CONNECTION_END = "connection_end"


@dataclass(slots=True)
class ResponseHead:
    """The status and headers of one response.

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
        With the names in their original case.
    value_by_name : dict of bytes to bytes
        The last value of each header, by its name in lower case.
    framing : Framing
    """

    status: int
    headers: list
    value_by_name: dict
    framing: Framing

    @property
    def framed(self):
        """Return whether the body's end is marked otherwise than by the end of the connection."""
        return self.framing is not Framing.CONNECTION_END

    def value(self, name):
        """Return a header's value, or an empty one if the header is absent.

        Parameters
        ----------
        name : bytes
            In lower case.

        Returns
        -------
        bytes
        """
        return self.value_by_name.get(name, b"")

    def values(self, name):
        """Return the values of all headers of a name.

        Parameters
        ----------
        name : bytes
            In lower case.

        Returns
        -------
        list of bytes
        """
        return [value for header_name, value in self.headers if header_name.lower() == name]


class ResponseReader:
    """A parser of responses that passes their parts to a listener.

    Parameters
    ----------
    listener : object
        With ``response_started(head)``, ``response_body(data)`` and ``response_ended(reusable)``.
    """

    def __init__(self, listener):
        self._listener = listener
        self._parser = HttpResponseParser(self)
        self._headers = []
        self._head = None
        self._overhead_bytes = 0
        self.idle = True

    def feed(self, data):
        """Parse bytes that were received on the connection.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        MalformedResponseError
            Also if there is no end to what is neither a final head nor a body.
        """
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            raise MalformedResponseError(
                "the response switches to a protocol that was not requested"
            ) from None
        except HttpParserError as error:
            raise MalformedResponseError(str(error)) from error
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            raise MalformedResponseError(f"more than {MAX_OVERHEAD_BYTES} bytes without an answer")

    def closed(self, cleanly):
        """Handle the end of the connection.

        Parameters
        ----------
        cleanly : bool
            Whether the peer closed the connection without a reset.

        Returns
        -------
        bool
            Whether this completed a response whose body extends to the end of the connection.
        """
        if self._head is None or self._head.framed or not cleanly:
            return False
        self._head = None
        self.idle = True
        self._listener.response_ended(False)
        return True

    def on_message_begin(self):
        """Handle the start of a response (called by httptools)."""
        self._headers = []
        self.idle = False

    def on_header(self, name, value):
        """Handle a header (called by httptools)."""
        if len(self._headers) >= MAX_HEADERS:
            raise MalformedResponseError(f"more than {MAX_HEADERS} headers")
        self._headers.append((name, value))

    def on_headers_complete(self):
        """Handle the end of the headers (called by httptools)."""
        status = self._parser.get_status_code()
        if not LOWEST_STATUS <= status <= HIGHEST_STATUS:
            raise MalformedResponseError(f"the status {status:03d} is none of HTTP's")
        if status < LOWEST_FINAL_STATUS:
            return
        self._overhead_bytes = 0
        value_by_name = {name.lower(): value for name, value in self._headers}
        framing = _framing(status, value_by_name)
        self._head = ResponseHead(status, self._headers, value_by_name, framing)
        self._listener.response_started(self._head)

    def on_body(self, data):
        """Handle a part of the body (called by httptools)."""
        self._overhead_bytes = 0
        if self._head is not None:
            self._listener.response_body(data)

    def on_message_complete(self):
        """Handle the end of a response (called by httptools)."""
        head = self._head
        self._head = None
        self.idle = True
        if head is None:
            return
        self._overhead_bytes = 0
        self._listener.response_ended(head.framed and self._parser.should_keep_alive())


def _framing(status, value_by_name):
    if status in STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    if TRANSFER_ENCODING in value_by_name:
        return Framing.CHUNKS
    if CONTENT_LENGTH in value_by_name:
        return Framing.LENGTH
    return Framing.CONNECTION_END
