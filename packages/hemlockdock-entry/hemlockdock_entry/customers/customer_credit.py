"""Tokens granted to this entry in advance for one customer, and the customer's recent demand."""

from collections import deque
from dataclasses import dataclass

from hemlockdock_core.decaying_count import DecayingCount
from hemlockdock_core.quota_bounds import CREDIT_VALID_S, most_credit

# Credit covers the demand of this time: several round trips to the leader.
AHEAD_S = 0.25
# Demand is averaged over this time.
DEMAND_S = 1.0


@dataclass(slots=True)
class CreditGrant:
    """Tokens that were granted together.

    Attributes
    ----------
    tokens, until_s : float
    """

    tokens: float
    until_s: float


class CustomerCredit:
    """Credit of one customer that no request has used yet, and the demand that it covers."""

    def __init__(self):
        self._grants = deque()
        self._demand = DecayingCount(DEMAND_S)

    def held(self, now_s):
        """Return the tokens that are held and valid.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float
        """
        return sum(grant.tokens for grant in self._grants if grant.until_s > now_s)

    def record_demand(self, tokens, now_s):
        """Record the tokens of a request that has come.

        Parameters
        ----------
        tokens, now_s : float
        """
        self._demand.add(tokens, now_s)

    def add(self, tokens, now_s):
        """Add tokens that were granted.

        Parameters
        ----------
        tokens : float
        now_s : float
            Time at which they were claimed.
        """
        self._grants.append(CreditGrant(tokens, now_s + CREDIT_VALID_S))

    def take(self, tokens, now_s):
        """Take the tokens of a request, the oldest first.

        Parameters
        ----------
        tokens, now_s : float

        Returns
        -------
        bool
            Whether there were enough.
        """
        if self.held(now_s) < tokens:
            return False
        for grant in self._grants:
            if grant.until_s <= now_s:
                continue
            part = min(tokens, grant.tokens)
            grant.tokens -= part
            tokens -= part
        return True

    def drop_expired(self, now_s):
        """Drop the tokens that have expired.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float
            How many have.
        """
        expired = 0.0
        while self._grants and self._grants[0].until_s <= now_s:
            expired += self._grants.popleft().tokens
        return expired

    def drop_all(self):
        """Drop all tokens: they were granted under another quota."""
        self._grants.clear()

    def wanted(self, quota, entries, now_s):
        """Return how much credit to claim.

        Parameters
        ----------
        quota : TokenQuota
        entries : int
            Number of entries that share what may be granted in advance; 0 if unknown.
        now_s : float

        Returns
        -------
        float
            0 while half of what is needed is held.
        """
        if not entries:
            return 0.0
        needed = self._demand.at(now_s) * AHEAD_S / DEMAND_S
        needed = min(needed, most_credit(quota) / entries)
        held = self.held(now_s)
        # Less than a request of average size is not worth a message.
        if held >= needed / 2 or needed < quota.default_tokens:
            return 0.0
        return needed - held
