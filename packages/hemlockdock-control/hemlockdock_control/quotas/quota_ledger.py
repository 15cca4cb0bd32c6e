"""The leader's ledger of the tokens that customers may use over all entries together."""

from math import ceil

from hemlockdock_control.quotas.quota_account import QuotaAccount
from hemlockdock_core.messages import QuotaOffer, QuotaReply
from hemlockdock_core.metrics import COUNTERS, GAUGES
from hemlockdock_core.quota_sizes import is_limited, largest_request

MS_PER_S = 1_000
TOKENS_GAUGE = "control_customer_tokens_left"
# A request that can never be served is refused by its entry; this one knew an earlier quota.
NEVER_MS = 60_000


class QuotaLedger:
    """The accounts of all customers, kept while this member leads.

    This handles customers whose requests come to entries unevenly: whoever has a request asks for
    its tokens. What entries that are out of touch may use by themselves is not granted to others.

    Parameters
    ----------
    now_s : float
    """

    def __init__(self, now_s):
        self._shown_names = set()
        self.clear(now_s)

    def clear(self, now_s):
        """Discard all accounts: another member may have led in the meantime.

        Parameters
        ----------
        now_s : float
        """
        self._since_s = now_s
        self._account_by_name = {}
        self._manifest = None
        self._customer_by_name = {}

    def update(self, manifest):
        """Apply the quotas of a manifest.

        Parameters
        ----------
        manifest : RouteManifest or None
        """
        if manifest is self._manifest:
            return
        self._manifest = manifest
        customers = () if manifest is None else manifest.customers
        self._customer_by_name = {customer.name: customer for customer in customers}
        for name in list(self._account_by_name):
            if not is_limited(self._customer_by_name.get(name)):
                del self._account_by_name[name]

    def answer(self, request, counts, now_s):
        """Answer an entry that asks for tokens.

        Parameters
        ----------
        request : QuotaRequest
        counts : EntryCounts
        now_s : float

        Returns
        -------
        QuotaReply
        """
        account = self._account(request.customer, now_s)
        offers = []
        for ask in request.asks:
            if account is None:
                # The manifest in force limits this customer no more.
                offers.append(QuotaOffer(True, 0))
                continue
            offers.append(_offer(account, ask, counts, now_s))
        return QuotaReply(request.customer, request.number, tuple(offers))

    def give_back(self, message):
        """Take back tokens that an entry did not use.

        Parameters
        ----------
        message : QuotaReturn
        """
        account = self._account_by_name.get(message.customer)
        if account is not None:
            account.give_back(message.tokens, message.is_credit)

    def record_use(self):
        """Update the gauges of all accounts."""
        for name in self._shown_names - self._account_by_name.keys():
            GAUGES.remove(TOKENS_GAUGE, customer=name)
        self._shown_names = set(self._account_by_name)
        for name, account in self._account_by_name.items():
            GAUGES.set(TOKENS_GAUGE, account.tokens, customer=name)

    def _account(self, name, now_s):
        customer = self._customer_by_name.get(name)
        if not is_limited(customer):
            return None
        account = self._account_by_name.get(name)
        if account is None:
            account = QuotaAccount(customer.quota, self._since_s)
            self._account_by_name[name] = account
        elif account.quota != customer.quota:
            account.change(customer.quota, now_s)
        return account


def _offer(account, ask, counts, now_s):
    # The last entry may not be heard of while its message is read.
    active = max(1, counts.total - counts.silent)
    per_s = account.quota.per_s * active / max(1, counts.total)
    if not ask.return_ms:
        return QuotaOffer(account.grant_credit(ask.tokens, per_s, now_s), 0)
    if ask.tokens > largest_request(account.quota):
        return QuotaOffer(False, NEVER_MS)
    valid_s = account.grant(ask.tokens, ask.wait_ms / MS_PER_S, ask.mark, per_s, now_s)
    if valid_s is not None:
        COUNTERS.increment("control_quota_grants")
        return QuotaOffer(True, _ceil_ms(valid_s - now_s))
    COUNTERS.increment("control_quota_declines")
    longest_s = ask.return_ms / MS_PER_S
    due_s = account.promise(ask.tokens, longest_s, ask.mark, per_s, now_s)
    return QuotaOffer(False, max(1, _ceil_ms(due_s - now_s)))


def _ceil_ms(seconds):
    return ceil(seconds * MS_PER_S)
