"""Ask for the rest of an answer."""

from hemlockdock_core.messages.message import Message


class Resume(Message, frozen=True):
    """Ask for an answer's bytes from an offset on. Entry to agent.

    The agent answers with a head, chunks and an end that carry the asked ``attempt``.

    Attributes
    ----------
    request_id : str
        Of the request whose answer is wanted.
    attempt : int
        Number that the frames of this resumption carry.
    offset : int
        Bytes the caller has.
    """

    request_id: str
    attempt: int
    offset: int
