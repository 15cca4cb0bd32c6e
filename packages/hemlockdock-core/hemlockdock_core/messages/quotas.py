"""Messages about the tokens that customers may use over all entries together."""

from typing import ClassVar

import msgspec

from hemlockdock_core.messages.message import Message


class TokenClaim(msgspec.Struct, frozen=True, array_like=True):
    """Claim to the tokens of one request, or to credit for future requests.

    Attributes
    ----------
    tokens : float
    wait_ms : int
        Longest time that the request may wait for its tokens.
    max_retry_after_ms : int
        Longest ``Retry-After`` that the client of the request honours.
    client_fingerprint : int
        Prefix of the request's fingerprint, so that the retry is recognised at any entry.
    is_credit : bool
        Whether these are tokens for future requests; only ``tokens`` applies then.
    """

    tokens: float
    wait_ms: int
    max_retry_after_ms: int = 0
    client_fingerprint: int = 0
    is_credit: bool = False


class QuotaRequest(Message, frozen=True):
    """Request for tokens of a customer. Sent by an entry to the leader.

    Attributes
    ----------
    customer : str
    number : int
        Increases with each message of the entry's process; the reply repeats it.
    claims : tuple of TokenClaim
    entries : int
        Largest number of entries that the entry has heard of; 0 for none.
    """

    customer: str
    number: int
    claims: tuple[TokenClaim, ...]
    entries: int


class TokenDecision(msgspec.Struct, frozen=True, array_like=True):
    """Decision of the leader on one TokenClaim.

    Attributes
    ----------
    is_granted : bool
    after_ms : int
        Time until the tokens are valid; if they were not granted, until the client should retry.
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
    decisions : tuple of TokenDecision
        One for each claim, in their order.
    """

    expects_answer: ClassVar[bool] = False

    customer: str
    number: int
    decisions: tuple[TokenDecision, ...]


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
