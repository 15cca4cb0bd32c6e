"""Message that cancels one attempt of a request."""

from hemlockdock_core.messages.message import Message


class Cancel(Message, frozen=True):
    """Cancellation of one attempt of a request. Sent by an entry to an agent.

    Attributes
    ----------
    request_id : str
    attempt : int
    """

    request_id: str
    attempt: int
