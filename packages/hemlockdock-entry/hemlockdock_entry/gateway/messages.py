"""Client requests, HTTP/1.1 message heads and header filtering."""

from dataclasses import dataclass, field

# Headers that apply to a single connection, and headers that each hop generates itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

REASON_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
UNKNOWN_REASON = b"Unknown"


@dataclass(slots=True)
class ClientRequest:
    """One request as received from a client.

    Attributes
    ----------
    method, target : bytes
    headers : list of (bytes, bytes)
        With names as received.
    value_by_name : dict of bytes to bytes
        The last value of each header, by lower-case name.
    body : bytearray
    keep_alive : bool
    received_s : float
        Time at which the request was completely received.
    http_version : str
    held_bytes : int
        Memory that the request takes.
    """

    method: bytes
    target: bytes
    headers: list
    value_by_name: dict
    body: bytearray
    keep_alive: bool
    received_s: float
    http_version: str
    held_bytes: int = 0

    @property
    def accepts_chunks(self):
        """Return whether the client's HTTP version has the chunked transfer coding."""
        return self.http_version != "1.0"

    def header(self, name):
        """Return the value of a header.

        Parameters
        ----------
        name : bytes
            In lower case.

        Returns
        -------
        bytes
            Empty if the request has no such header.
        """
        return self.value_by_name.get(name, b"")

    @property
    def path(self):
        """Return the target without its query string."""
        return self.target.partition(b"?")[0]


@dataclass(slots=True)
class ConnectionOptions:
    """Connection options: the header names listed in a message's ``Connection`` header.

    Attributes
    ----------
    names : frozenset of bytes
    """

    names: frozenset = field(default_factory=frozenset)

    @classmethod
    def of(cls, connection_value):
        """Parse the value of a ``Connection`` header.

        Parameters
        ----------
        connection_value : bytes

        Returns
        -------
        ConnectionOptions
        """
        if not connection_value:
            return NO_CONNECTION_OPTIONS
        parts = connection_value.lower().split(b",")
        return cls(frozenset(part.strip() for part in parts))


NO_CONNECTION_OPTIONS = ConnectionOptions()


def forwarded_headers(headers, connection_value, dropped):
    """Return the end-to-end headers, which are forwarded.

    Parameters
    ----------
    headers : list of (bytes, bytes)
    connection_value : bytes
        Value of the message's ``Connection`` header; empty if it has none.
    dropped : frozenset of bytes
        Further headers to remove, by lower-case name.

    Returns
    -------
    list of (bytes, bytes)
    """
    declared = ConnectionOptions.of(connection_value).names
    passed = []
    for name, value in headers:
        lower = name.lower()
        if lower in HOP_BY_HOP_HEADERS or lower in dropped or lower in declared:
            continue
        passed.append((name, value))
    return passed


def format_head(first_line, headers):
    """Serialize the head of a message.

    Parameters
    ----------
    first_line : bytes
    headers : iterable of (bytes, bytes)

    Returns
    -------
    bytes
    """
    parts = [first_line]
    parts.extend(name + b": " + value for name, value in headers)
    return b"\r\n".join(parts) + b"\r\n\r\n"


def refusal_response(refusal, headers):
    """Serialize a refusal as a complete response.

    Parameters
    ----------
    refusal : Refusal
    headers : iterable of (bytes, bytes)
        Headers in addition to the content headers.

    Returns
    -------
    bytes
    """
    body = refusal.message.encode()
    body_headers = [(b"Content-Type", b"text/plain"), (b"Content-Length", b"%d" % len(body))]
    return format_head(status_line(refusal.status), [*body_headers, *headers]) + body


def status_line(status):
    """Return the status line of a response.

    Parameters
    ----------
    status : int

    Returns
    -------
    bytes
    """
    return b"HTTP/1.1 %d %s" % (status, REASON_BY_STATUS.get(status, UNKNOWN_REASON))
