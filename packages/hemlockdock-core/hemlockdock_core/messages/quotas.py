"""Messages about the tokens that customers may use over all entries together."""

from typing import ClassVar

import msgspec

from hemlockdock_core.messages.message import Message


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """Wish for the tokens of one request, or for credit for requests to come.

    Attributes
    ----------
    tokens : float
    wait_ms : int
        Longest time that the request may wait for its tokens.
    return_ms : int
        Longest time after which its client would return; 0 for credit.
    mark : int
        Number that the request has in common with its repetitions.
    """

    tokens: float
    wait_ms: int
    return_ms: int = 0
    mark: int = 0


class QuotaRequest(Message, frozen=True):
    """Request for tokens of a customer. Sent by an entry to the leader.

    Attributes
    ----------
    customer : str
    number : int
        Increases with each message of the entry's process; the reply repeats it.
    asks : tuple of QuotaAsk
    entries : int
        Largest number of entries that the entry has heard of; 0 for none.
    """

    customer: str
    number: int
    asks: tuple[QuotaAsk, ...]
    entries: int


class QuotaOffer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to one QuotaAsk.

    Attributes
    ----------
    is_granted : bool
    after_ms : int
        Time until the tokens are valid; if not granted, until there will be tokens.
    """

    is_granted: bool
    after_ms: int


class QuotaReply(Message, frozen=True):
    """Tokens of a customer. Sent by the leader to an entry.

    Attributes
    ----------
    customer : str
    number : int
        Number of the request.
    offers : tuple of QuotaOffer
        One for each ask, in their order.
    """

    expects_answer: ClassVar[bool] = False

    customer: str
    number: int
    offers: tuple[QuotaOffer, ...]


class QuotaReturn(Message, frozen=True):
    """Tokens that were not used. Sent by an entry to the leader.

    Attributes
    ----------
    customer : str
    tokens : float
    is_credit : bool
        Whether they were granted in advance; otherwise they are those of requests that were not
        sent to an endpoint.
    """

    expects_answer: ClassVar[bool] = False

    customer: str
    tokens: float
    is_credit: bool
