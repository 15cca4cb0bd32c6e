"""Hold requests and write HTTP/1.1 heads."""

from dataclasses import dataclass, field

# Headers that concern one connection only, and those that each hop writes anew.
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
    """Hold one request as a client sent it.

    Attributes
    ----------
    method, target : bytes
    headers : list of (bytes, bytes)
        Names as they came.
    value_by_name : dict of bytes to bytes
        The last value of each name, in lower case.
    body : bytes
    keep_alive : bool
    received_s : float
        When its last byte came.
    """

    method: bytes
    target: bytes
    headers: list
    value_by_name: dict
    body: bytes
    keep_alive: bool
    received_s: float

    @property
    def path(self):
        """Return the target without its query."""
        return self.target.partition(b"?")[0]


@dataclass(slots=True)
class ConnectionOptions:
    """Hold the names that a message's own ``Connection`` header declares.

    Attributes
    ----------
    names : frozenset of bytes
    """

    names: frozenset = field(default_factory=frozenset)

    @classmethod
    def of(cls, connection_value):
        """Read a ``Connection`` header.

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


def passed_headers(headers, connection_value, dropped):
    """Return the headers that are passed on.

    Parameters
    ----------
    headers : list of (bytes, bytes)
    connection_value : bytes
        Value of the message's ``Connection`` header.
    dropped : frozenset of bytes
        Further names to drop, in lower case.

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
    """Return a head's bytes.

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


def refusal_answer(refusal, headers):
    """Return a refusal's whole answer.

    Parameters
    ----------
    refusal : Refusal
    headers : iterable of (bytes, bytes)
        Beside those of the body.

    Returns
    -------
    bytes
    """
    body = refusal.message.encode()
    body_headers = [(b"Content-Type", b"text/plain"), (b"Content-Length", b"%d" % len(body))]
    return format_head(status_line(refusal.status), [*body_headers, *headers]) + body


def status_line(status):
    """Return the first line of a response.

    Parameters
    ----------
    status : int

    Returns
    -------
    bytes
    """
    return b"HTTP/1.1 %d %s" % (status, REASON_BY_STATUS.get(status, UNKNOWN_REASON))
