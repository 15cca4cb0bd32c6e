"""Refuse or break off one try of a request."""

from hemlockdock_core.errors import Refusal
from hemlockdock_core.messages.message import Message


class Refused(Message, frozen=True):
    """Refuse or break off one try of a request. Agent to entry.

    Attributes
    ----------
    request_id : str
    attempt : int
    refusal : Refusal
    """

    request_id: str
    attempt: int
    refusal: Refusal
