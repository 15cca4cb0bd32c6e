"""Account of the tokens that one customer may use (generic cell rate algorithm)."""

from dataclasses import dataclass

from hemlockdock_core.quota_sizes import (
    MAX_EXCESS_TOKENS,
    WINDOW_S,
    most_credit,
    usable_burst,
)

# Clients that were told when to return get this share of the rate, in the order in which they were
# told; the others get the rest, so that no class of requests waits for those of another.
PROMISED_SHARE = 0.5
# Tokens are withheld for this long after the time at which a client was told to return.
PROMISE_VALID_S = 0.2
# A client that returns may claim its tokens ahead of time by the longest wait of a request. Others
# whose time comes before must not be declined for that.
EARLY_S = 0.1
# Tokens of requests that were never sent belong to an earlier window. Those that count again are
# limited: as many as in this time and some more, refilled within a window.
MAX_RETURNED_S = 0.1
MAX_RETURNED_TOKENS = 1_000.0
# Rounding errors must not delay tokens that are there.
ROUNDING = 1e-6


@dataclass(frozen=True, slots=True)
class Promise:
    """Tokens that are withheld for a client that was told when to return.

    Attributes
    ----------
    mark : int
        Number that the client's requests have in common.
    due_s, tokens : float
    """

    mark: int
    due_s: float
    tokens: float


class QuotaAccount:
    """The tokens that a customer may use over all entries. It begins without any.

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
        self._promised_s = now_s
        self._promises = []

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
            # The lower rate can't keep what was promised under the higher one.
            self._promised_s = now_s
            self._promises = []
        self.quota = quota
        self._tokens = min(self._tokens, usable_burst(quota))

    def grant(self, tokens, longest_wait_s, mark, per_s, now_s):
        """Grant the tokens of one request.

        Parameters
        ----------
        tokens, longest_wait_s : float
        mark : int
            Whoever was promised tokens under this mark gets those.
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
        promise = self._find_promise(mark, now_s + longest_wait_s)
        if promise is not None and wait_s <= longest_wait_s + EARLY_S:
            self._promises.remove(promise)
            # Tokens that others claimed early are valid only later.
            wait_s = max(promise.due_s - now_s, min(wait_s, longest_wait_s))
        elif wait_s > longest_wait_s or not self._leaves_promised(tokens, per_s, now_s):
            return None
        self._tokens = self.tokens - tokens
        return now_s + wait_s

    def grant_credit(self, tokens, per_s, now_s):
        """Grant credit for requests to come, out of what is left of the burst only.

        Parameters
        ----------
        tokens, per_s, now_s : float

        Returns
        -------
        bool
        """
        self._count(per_s, now_s)
        left = self.tokens - tokens
        if left < usable_burst(self.quota) / 2 or not self._leaves_promised(tokens, per_s, now_s):
            return False
        self._tokens = left
        return True

    def promise(self, tokens, longest_s, mark, per_s, now_s):
        """Return when a client that gets no tokens now may return, and withhold them until then.

        Parameters
        ----------
        tokens : float
        longest_s : float
            Time after which the client would return at the latest. Nothing is withheld for one
            that would return too early.
        mark : int
        per_s, now_s : float

        Returns
        -------
        float
        """
        self._count(per_s, now_s)
        promised = sum(promise.tokens for promise in self._promises)
        earliest_s = now_s + self._wait_s(tokens, per_s, promised)
        due_s = max(earliest_s, self._promised_s)
        if due_s - now_s <= longest_s:
            self._promised_s = due_s + tokens / (PROMISED_SHARE * per_s)
            self._promises.append(Promise(mark, due_s, tokens))
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
        # What is kept beyond the burst only tells how long the customer has paused.
        most = usable_burst(self.quota) + WINDOW_S * self.quota.per_s
        self._tokens = min(most, self._tokens + per_s * passed_s)
        most = MAX_RETURNED_S * self.quota.per_s + MAX_RETURNED_TOKENS
        self._returned = min(most, self._returned + most * passed_s / WINDOW_S)

    def _wait_s(self, tokens, per_s, promised=0.0):
        burst = usable_burst(self.quota)
        needed = min(tokens, burst) + max(0.0, tokens - burst - MAX_EXCESS_TOKENS)
        return max(0.0, needed + promised - ROUNDING - self._tokens) / per_s

    def _find_promise(self, mark, latest_s):
        for promise in self._promises:
            if promise.due_s > latest_s:
                return None
            if promise.mark == mark:
                return promise
        return None

    def _leaves_promised(self, tokens, per_s, now_s):
        """Return whether each client that was told when to return finds its tokens then."""
        while self._promises and self._promises[0].due_s + PROMISE_VALID_S < now_s:
            self._promises.pop(0)
        left = self._tokens - tokens
        for promise in self._promises:
            at_due = left + per_s * max(0.0, promise.due_s - now_s)
            if at_due + ROUNDING < min(promise.tokens, usable_burst(self.quota)):
                return False
            left -= promise.tokens
        return True
