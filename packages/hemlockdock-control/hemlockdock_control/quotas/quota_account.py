"""Token bucket of one customer, with reservations for clients that were told when to retry."""

from dataclasses import dataclass

from hemlockdock_core.quota_bounds import (
    MAX_EXCESS_TOKENS,
    MAX_WAIT_S,
    WINDOW_S,
    most_credit,
    usable_burst,
)

# Part of the rate that is reserved for clients that were told when to retry, in the order in which
# they were told. The rest is for new requests, so that neither kind waits for the other.
RESERVED_SHARE = 0.5
# A reservation is kept for this long after the time at which its client was told to retry.
RESERVATION_VALID_S = 0.2
# Returned tokens may have been charged in an earlier window, where they counted already. At most
# those of this time, and 1,000 more, count again at once; as many are refilled within a window.
MAX_RETURNED_S = 0.1
MAX_RETURNED_TOKENS = 1_000.0
# Tolerance for rounding errors, so that they don't delay tokens that have accrued.
ROUNDING = 1e-6


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens that are reserved for a client that was told when to retry.

    Attributes
    ----------
    client_fingerprint : int
        Prefix of the request's fingerprint, so that the retry is recognised at any entry.
    due_s, tokens : float
    """

    client_fingerprint: int
    due_s: float
    tokens: float


class QuotaAccount:
    """The tokens that a customer may use over all entries. It begins empty.

    Parameters
    ----------
    quota : TokenQuota
    now_s : float
        Time from which tokens accrue.

    Attributes
    ----------
    quota : TokenQuota
    """

    def __init__(self, quota, now_s):
        self.quota = quota
        self._counted_s = now_s
        # Negative if tokens were granted ahead of time, or to a request larger than the burst.
        self._tokens = 0.0
        self._returned = 0.0
        self._next_reservation_s = now_s
        self._reservations = []

    @property
    def tokens(self):
        """Return the tokens that were left when the account was last used."""
        return min(self._tokens, usable_burst(self.quota))

    def change(self, quota, now_s):
        """Apply a changed quota at once.

        Parameters
        ----------
        quota : TokenQuota
        now_s : float
        """
        self._count(self.quota.per_s, now_s)
        if quota.per_s < self.quota.per_s:
            # Reservations made at the higher rate can't be met at the lower one.
            self._next_reservation_s = now_s
            self._reservations = []
        self.quota = quota
        self._tokens = min(self._tokens, usable_burst(quota))

    def grant(self, tokens, longest_wait_s, client_fingerprint, per_s, now_s):
        """Grant the tokens of one request.

        Parameters
        ----------
        tokens, longest_wait_s : float
        client_fingerprint : int
            Prefix of the request's fingerprint. The request gets the tokens reserved under it.
        per_s : float
            Tokens per second that this leader may grant.
        now_s : float

        Returns
        -------
        float or None
            Time from which the tokens are valid; None if that is too late.
        """
        self._count(per_s, now_s)
        wait_s = self._wait_s(tokens, per_s)
        reservation = self._find_reservation(client_fingerprint, now_s + longest_wait_s)
        if reservation is not None and wait_s <= longest_wait_s + MAX_WAIT_S:
            self._reservations.remove(reservation)
            # Tokens that others claimed early are valid only later.
            wait_s = max(reservation.due_s - now_s, min(wait_s, longest_wait_s))
        elif wait_s > longest_wait_s or not self._leaves_reserved(tokens, per_s, now_s):
            return None
        self._tokens = self.tokens - tokens
        return now_s + wait_s

    def grant_credit(self, tokens, per_s, now_s):
        """Grant credit for future requests, out of what is left of the burst only.

        Parameters
        ----------
        tokens, per_s, now_s : float

        Returns
        -------
        bool
        """
        self._count(per_s, now_s)
        left = self.tokens - tokens
        if left < usable_burst(self.quota) / 2 or not self._leaves_reserved(tokens, per_s, now_s):
            return False
        self._tokens = left
        return True

    def reserve(self, tokens, longest_s, client_fingerprint, per_s, now_s):
        """Return when a client that gets no tokens now may retry, and reserve tokens for then.

        Parameters
        ----------
        tokens : float
        longest_s : float
            Longest time after which the client retries. Nothing is reserved for one that would
            retry too early.
        client_fingerprint : int
        per_s, now_s : float

        Returns
        -------
        float
        """
        self._count(per_s, now_s)
        reserved = sum(reservation.tokens for reservation in self._reservations)
        earliest_s = now_s + self._wait_s(tokens, per_s, reserved)
        due_s = max(earliest_s, self._next_reservation_s)
        if due_s - now_s <= longest_s:
            self._next_reservation_s = due_s + tokens / (RESERVED_SHARE * per_s)
            self._reservations.append(Reservation(client_fingerprint, due_s, tokens))
        return due_s

    def give_back(self, tokens, is_credit):
        """Take back tokens that were not used.

        Parameters
        ----------
        tokens : float
        is_credit : bool
        """
        if is_credit:
            tokens = min(tokens, most_credit(self.quota))
        else:
            tokens = min(tokens, self._returned)
            self._returned -= tokens
        self._tokens = min(self._tokens + tokens, max(self._tokens, usable_burst(self.quota)))

    def _count(self, per_s, now_s):
        passed_s = max(0.0, now_s - self._counted_s)
        self._counted_s = max(self._counted_s, now_s)
        # Tokens beyond the burst only measure how long the customer has been idle.
        most = usable_burst(self.quota) + WINDOW_S * self.quota.per_s
        self._tokens = min(most, self._tokens + per_s * passed_s)
        most = MAX_RETURNED_S * self.quota.per_s + MAX_RETURNED_TOKENS
        self._returned = min(most, self._returned + most * passed_s / WINDOW_S)

    def _wait_s(self, tokens, per_s, reserved=0.0):
        burst = usable_burst(self.quota)
        needed = min(tokens, burst) + max(0.0, tokens - burst - MAX_EXCESS_TOKENS)
        return max(0.0, needed + reserved - ROUNDING - self._tokens) / per_s

    def _find_reservation(self, client_fingerprint, latest_s):
        for reservation in self._reservations:
            if reservation.due_s > latest_s:
                return None
            if reservation.client_fingerprint == client_fingerprint:
                return reservation
        return None

    def _leaves_reserved(self, tokens, per_s, now_s):
        """Return whether a grant leaves the tokens of all reservations at their times."""
        while self._reservations and self._reservations[0].due_s + RESERVATION_VALID_S < now_s:
            self._reservations.pop(0)
        left = self._tokens - tokens
        for reservation in self._reservations:
            at_due = left + per_s * max(0.0, reservation.due_s - now_s)
            if at_due + ROUNDING < min(reservation.tokens, usable_burst(self.quota)):
                return False
            left -= reservation.tokens
        return True
