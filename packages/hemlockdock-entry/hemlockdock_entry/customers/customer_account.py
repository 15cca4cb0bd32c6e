"""The account of one customer at an entry."""

from dataclasses import dataclass, field

from hemlockdock_entry.customers.customer_credit import CustomerCredit
from hemlockdock_entry.own_pace import OwnPace


@dataclass(frozen=True, slots=True)
class AskedTokens:
    """Requests for which the leader was asked for tokens.

    Attributes
    ----------
    exchanges : list of ProxyExchange
    credit : float
        Tokens that were asked for in advance.
    asked_s : float
    """

    exchanges: list
    credit: float
    asked_s: float


@dataclass(slots=True)
class CustomerAccount:
    """The account of one customer at an entry.

    Attributes
    ----------
    quota : TokenQuota
        The quota under which the credit was granted.
    own_pace : OwnPace
    credit : CustomerCredit
    wanting : list of ProxyExchange
        Requests for which tokens are about to be asked.
    is_asking : bool
        Whether a message to the leader is about to be sent.
    asked_by_number : dict of int to AskedTokens
        By the number of the message.
    declined_s : float or None
        Time at which the leader last declined a request.
    """

    quota: object
    own_pace: OwnPace
    credit: CustomerCredit = field(default_factory=CustomerCredit)
    wanting: list = field(default_factory=list)
    is_asking: bool = False
    asked_by_number: dict = field(default_factory=dict)
    declined_s: float | None = None

    def has_asked_credit(self):
        """Return whether the leader was asked for credit and has not answered yet."""
        return any(asked.credit for asked in self.asked_by_number.values())

    def change_quota(self, quota):
        """Apply a changed quota: credit that was granted under the earlier one is void.

        Parameters
        ----------
        quota : TokenQuota
        """
        self.quota = quota
        self.credit.drop_all()
        self.own_pace.restart()
