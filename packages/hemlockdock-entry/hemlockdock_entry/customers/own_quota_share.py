"""Serve customers' requests without the leader, from this entry's own share of their quotas."""

import logging
from math import ceil

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.customers.token_wait import max_token_wait_s
from hemlockdock_entry.leader_times import OWN_PACE_AFTER_S, RETRY_S

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
# While the leader does not answer, but is not known to be out of touch, an entry uses this part of
# its equal share: others may still be granted all of the rate.
UNANSWERED_SHARE = 0.5


class OwnQuotaShare:
    """An equal share of each customer's rate, which the leader reserves for this entry.

    Parameters
    ----------
    gateway : Gateway
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._is_out_of_touch = False

    def leader_answers(self):
        """Return whether the leader has answered recently enough to grant tokens.

        Returns
        -------
        bool
        """
        answers = self._gateway.link.leader_answers_within(OWN_PACE_AFTER_S)
        if answers == self._is_out_of_touch:
            self._is_out_of_touch = not answers
            if answers:
                logger.info("leader back, quotas granted by it")
            else:
                logger.info("leader lost, quotas paced locally")
        return answers

    def book(self, exchange, state, share=1.0):
        """Charge a request to the own share, to be dispatched now or by a timer.

        Parameters
        ----------
        exchange : ProxyExchange
        state : CustomerQuotaState
        share : float
            Part of the equal share that may be used.

        Returns
        -------
        bool
            Whether it was charged. If so, ``is_delayed`` of its charge tells whether a timer
            dispatches it.
        """
        entries = self._gateway.link.reported_entries
        if not entries:
            return False
        now_s = self._gateway.clock.seconds()
        charge = exchange.token_charge
        interval_s = charge.tokens * entries / (state.quota.per_s * share)
        booked_s = state.own_pace.book(max_token_wait_s(exchange), interval_s, now_s)
        if booked_s is None:
            return False
        COUNTERS.increment("gateway_quota_own_share")
        charge.record(state.customer, by_leader=False)
        if booked_s > now_s:
            charge.is_delayed = True
            self._gateway.clock.callLater(booked_s - now_s, exchange.dispatch)
        return True

    def refuse(self, exchange, state):
        """Refuse a request for which the own share has no tokens in time.

        Parameters
        ----------
        exchange : ProxyExchange
        state : CustomerQuotaState
        """
        # No 429: only the leader knows whether the quota is used up.
        message = "the leader did not grant tokens in time"
        after_s = RETRY_S
        if state.own_pace.next_s is not None:
            after_s = max(RETRY_S, state.own_pace.next_s - self._gateway.clock.seconds())
        retry_after_ms = max(1, ceil(after_s * MS_PER_S))
        exchange.refuse(Refusal.of(ErrorKind.NO_CONTROL, message, retry_after_ms=retry_after_ms))
