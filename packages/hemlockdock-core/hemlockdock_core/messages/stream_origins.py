"""Messages about where streams began."""

from typing import ClassVar

import msgspec

from hemlockdock_core.messages.message import Message


class StreamStarted(Message, frozen=True):
    """The first event of a stream reached its client. Sent by an entry to control members.

    Attributes
    ----------
    request_id : str
        Id of the request attempt that brought the event.
    pool, software_version : str
        Of the endpoint that sent it.
    keep_ms : int
        Time for which the client may still resume the stream.
    """

    expects_answer: ClassVar[bool] = False

    request_id: str
    pool: str
    software_version: str
    keep_ms: int


class OriginQuestion(msgspec.Struct, frozen=True, array_like=True):
    """What a request that resumes a stream says of it.

    Attributes
    ----------
    request_id : str
        Id of the request attempt that brought its first event; empty if the client named none.
    pool : str
        The only pool of the stream's route; empty if it has several. Members that read the route's
        scope ignore it.
    window_ms : int
        Time within which the stream began; ignored likewise.
    route_scope : str
        Empty from entries that do not tell it.
    """

    request_id: str
    pool: str
    window_ms: int
    route_scope: str = ""


class FindStreamOrigin(Message, frozen=True):
    """Question where a stream began. Sent by an entry to control members.

    Attributes
    ----------
    lookup : int
        Number of the question, which the answer repeats.
    question : OriginQuestion
    """

    lookup: int
    question: OriginQuestion


class StreamOriginReply(Message, frozen=True):
    """Where a stream began. Sent by a control member to an entry.

    Attributes
    ----------
    lookup : int
        Number of the question.
    pool, software_version : str
        Empty if the member does not know.
    """

    expects_answer: ClassVar[bool] = False

    lookup: int
    pool: str
    software_version: str
