"""Messages about the requests per second that endpoints take from all entries together."""

from typing import ClassVar

import msgspec

from hemlockdock_core.messages.message import Message


class LimitNamed(Message, frozen=True):
    """What an endpoint named in a response. Sent by an entry to the leader.

    Attributes
    ----------
    endpoint_id : str
    per_s : float or None
        Requests per second; None if the endpoint named no limit any more.
    """

    expects_answer: ClassVar[bool] = False

    endpoint_id: str
    per_s: float | None


class PermitRequest(Message, frozen=True):
    """Request for permits to send requests to an endpoint. Sent by an entry to the leader.

    Attributes
    ----------
    endpoint_id : str
    number : int
        Increases with each message of the entry's process; the reply repeats it.
    waits_ms : tuple of int
        For each request that needs a permit, the longest time that it may wait.
    entries : int
        Largest number of entries that the entry has heard of; 0 for none.
    """

    endpoint_id: str
    number: int
    waits_ms: tuple[int, ...]
    entries: int


class PermitOffer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to the wish for one permit.

    Attributes
    ----------
    is_booked : bool
        Whether the request has got a permit.
    after_ms : int
        Time until the permit is valid; without one, until the next permit would be.
    return_ms : int
        Without a permit, time after which the client of the request may return.
    """

    is_booked: bool
    after_ms: int
    return_ms: int = 0


class PermitReply(Message, frozen=True):
    """Permits for an endpoint. Sent by the leader to an entry.

    Attributes
    ----------
    endpoint_id : str
    number : int
        Number of the request.
    offers : tuple of PermitOffer
        One for each wish, in their order.
    """

    expects_answer: ClassVar[bool] = False

    endpoint_id: str
    number: int
    offers: tuple[PermitOffer, ...]


class PermitReturn(Message, frozen=True):
    """Permits that were not used. Sent by an entry to the leader.

    Attributes
    ----------
    endpoint_id : str
    permits : int
    """

    expects_answer: ClassVar[bool] = False

    endpoint_id: str
    permits: int
