"""Give up one try of a request."""

from hemlockdock_core.messages.message import Message


class Cancel(Message, frozen=True):
    """Give up one try of a request. Entry to agent.

    Attributes
    ----------
    request_id : str
    attempt : int
    """

    request_id: str
    attempt: int
