"""Message that requests the rest of a response."""

from hemlockdock_core.messages.message import Message


class Resume(Message, frozen=True):
    """Request for a response's bytes from an offset on. Sent by an entry to an agent.

    The agent replies with an ``AnswerHead``, ``AnswerChunk`` messages and an ``AnswerEnd``, which
    all have this ``attempt``.

    Attributes
    ----------
    request_id : str
        Id of the request whose response is resumed.
    attempt : int
        Attempt number in the messages of this resumption.
    offset : int
        Number of bytes that the client already has.
    """

    request_id: str
    attempt: int
    offset: int
