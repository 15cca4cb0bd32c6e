"""State of one customer's quota at an entry."""

from dataclasses import dataclass, field

from hemlockdock_entry.customers.customer_credit import CustomerCredit
from hemlockdock_entry.own_pace import OwnPace


@dataclass(frozen=True, slots=True)
class UnansweredClaims:
    """Claims of one message to the leader, until it answers.

    Attributes
    ----------
    exchanges : list of ProxyExchange
    credit : float
        Tokens that were claimed for future requests.
    sent_s : float
    """

    exchanges: list
    credit: float
    sent_s: float


@dataclass(slots=True)
class CustomerQuotaState:
    """State of one customer's quota at an entry.

    Attributes
    ----------
    customer : str
        Name of the customer, by which its tokens are claimed and returned.
    quota : TokenQuota
        The quota under which the credit was granted.
    own_pace : OwnPace
    credit : CustomerCredit
    unasked_exchanges : list of ProxyExchange
        Requests whose tokens have not been claimed yet.
    is_request_scheduled : bool
        Whether a message that claims them is scheduled.
    unanswered_by_number : dict of int to UnansweredClaims
        By the number of the message.
    declined_s : float or None
        Time at which the leader last declined a request.
    """

    customer: str
    quota: object
    own_pace: OwnPace
    credit: CustomerCredit = field(default_factory=CustomerCredit)
    unasked_exchanges: list = field(default_factory=list)
    is_request_scheduled: bool = False
    unanswered_by_number: dict = field(default_factory=dict)
    declined_s: float | None = None

    def has_claimed_credit(self):
        """Return whether credit was claimed and the leader has not answered yet."""
        return any(claims.credit for claims in self.unanswered_by_number.values())

    def change_quota(self, quota):
        """Apply a changed quota: credit that was granted under the earlier one is void.

            Parameters
            ----------
            customer : str
            Name of the customer, by which its tokens are claimed and returned.
        quota : TokenQuota
        """
        self.quota = quota
        self.credit.drop_all()
        self.own_pace.restart()
