"""Whether a request's tokens have been charged to its customer's quota, and by whom."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenCharge:
    """Charge of one request's tokens to its customer's quota.

    Attributes
    ----------
    tokens : float
    is_charged : bool
        Whether the tokens have been charged, so that the request may be dispatched.
    by_leader : bool
        Whether the leader granted them; otherwise they are of the entry's own share.
    customer : str or None
        Name of the customer that was charged. The request's key may move to another customer
        while the request waits; its tokens are still returned to this one.
    is_delayed : bool
        Whether the request waits for the time that was booked for it in the entry's own share.
    """

    tokens: float = 0.0
    is_charged: bool = False
    by_leader: bool = False
    customer: str | None = None
    is_delayed: bool = False

    def record(self, customer, by_leader):
        """Record that the tokens have been charged.

        Parameters
        ----------
        customer : str
        by_leader : bool
        """
        self.is_charged = True
        self.customer = customer
        self.by_leader = by_leader
