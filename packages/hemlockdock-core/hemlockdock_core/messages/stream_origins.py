"""Messages about where streams began."""

from hemlockdock_core.messages.message import Message


class StreamBegun(Message, frozen=True):
    """The first event of a stream reached its client. Sent by an entry to control members.

    Attributes
    ----------
    request_id : str
        Id of the request attempt that brought the event.
    pool, software_version : str
        Of the endpoint that sent it.
    keep_ms : int
        Time for which the client may still take the stream up.
    """

    request_id: str
    pool: str
    software_version: str
    keep_ms: int


class FindStreamOrigin(Message, frozen=True):
    """Question where a stream began. Sent by an entry to control members.

    Attributes
    ----------
    request_id : str
        Id of the request attempt that brought its first event.
    """

    request_id: str


class StreamOriginReply(Message, frozen=True):
    """Where a stream began. Sent by a control member to an entry.

    Attributes
    ----------
    request_id : str
    pool, software_version : str
        Empty if the member does not know the stream.
    """

    request_id: str
    pool: str
    software_version: str
