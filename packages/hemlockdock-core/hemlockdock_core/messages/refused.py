"""Message that refuses or aborts one attempt of a request."""

from hemlockdock_core.errors import Refusal
from hemlockdock_core.messages.message import Message


class Refused(Message, frozen=True):
    """Refusal or abort of one attempt of a request. Sent by an agent to an entry.

    Attributes
    ----------
    request_id : str
    attempt : int
    refusal : Refusal
    """

    request_id: str
    attempt: int
    refusal: Refusal
