"""The leader's ledger of the tokens that customers may use over all entries together."""

from math import ceil

from hemlockdock_control.quotas.quota_account import QuotaAccount
from hemlockdock_core.messages import QuotaReply, TokenDecision
from hemlockdock_core.metrics import COUNTERS, GAUGES
from hemlockdock_core.quota_bounds import is_limited, largest_request

MS_PER_S = 1_000
TOKENS_GAUGE = "control_customer_tokens_left"
# Entries refuse requests larger than the quota can ever grant. One that gets here came from an
# entry that did not know the quota in force yet.
TOO_LARGE_RETRY_MS = 60_000


class QuotaLedger:
    """The accounts of all customers, kept while this member leads.

    Entries claim the tokens of each request, so that a customer's requests may be spread over
    entries in any way. The shares of entries that are out of touch are not granted to others.

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
        decisions = []
        for claim in request.claims:
            if account is None:
                # The manifest in force does not limit this customer.
                decisions.append(TokenDecision(True, 0))
                continue
            decisions.append(_decide(account, claim, counts, now_s))
        return QuotaReply(request.customer, request.number, tuple(decisions))

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


def _decide(account, claim, counts, now_s):
    # The roster may count the only entry as silent while its message is handled.
    active = max(1, counts.total - counts.silent)
    per_s = account.quota.per_s * active / max(1, counts.total)
    if claim.is_credit:
        return TokenDecision(account.grant_credit(claim.tokens, per_s, now_s), 0)
    if claim.tokens > largest_request(account.quota):
        return TokenDecision(False, TOO_LARGE_RETRY_MS)
    longest_wait_s = claim.wait_ms / MS_PER_S
    fingerprint = claim.client_fingerprint
    valid_s = account.grant(claim.tokens, longest_wait_s, fingerprint, per_s, now_s)
    if valid_s is not None:
        COUNTERS.increment("control_quota_grants")
        return TokenDecision(True, _ceil_ms(valid_s - now_s))
    COUNTERS.increment("control_quota_declines")
    longest_s = claim.max_retry_after_ms / MS_PER_S
    due_s = account.reserve(claim.tokens, longest_s, fingerprint, per_s, now_s)
    return TokenDecision(False, max(1, _ceil_ms(due_s - now_s)))


def _ceil_ms(seconds):
    return ceil(seconds * MS_PER_S)
