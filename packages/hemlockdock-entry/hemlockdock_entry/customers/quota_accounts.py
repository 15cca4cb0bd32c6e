"""Ask the leader for the tokens of customers' requests."""

import logging
from math import ceil

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.messages import QuotaAsk, QuotaRequest, QuotaReturn
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.quota_sizes import is_limited, largest_request
from hemlockdock_entry.customers.customer_account import AskedTokens, CustomerAccount
from hemlockdock_entry.customers.request_tokens import request_tokens
from hemlockdock_entry.leader_times import OWN_PACE_AFTER_S, REPLY_TIMEOUT_S, RETRY_S
from hemlockdock_entry.own_pace import OwnPace
from hemlockdock_entry.retry_after import MAX_RETRY_AFTER_FRACTION

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
# Requests wait for tokens no longer, and no longer than half of the time to their target: one that
# may wait for longer would take the tokens of one that may not.
MAX_WAIT_S = 0.1
# While the leader does not answer, but is not known to be out of touch, an entry uses this part of
# its equal share: others may still be granted all of the rate.
UNANSWERED_SHARE = 0.5
# After the leader has declined a request, further ones are asked for together, so that the answers
# stay within 2 KB/s.
DECLINED_FOR_S = 0.25
COLLECT_S = 0.05
MARK_DIGITS = 12


class QuotaAccounts:
    """The accounts of all customers at an entry.

    A request of a customer with a quota is charged before it is dispatched: to credit that the
    leader granted in advance, or by asking the leader. Out of touch, the entry keeps to an equal
    share of the rate.

    Parameters
    ----------
    gateway : Gateway
    random_source : random.Random
    """

    def __init__(self, gateway, random_source):
        self._gateway = gateway
        self._random = random_source
        self._number = 0
        self._account_by_name = {}
        self._is_out_of_touch = False

    def charge(self, exchange):
        """Charge a request, ask the leader for its tokens, or refuse it.

        Parameters
        ----------
        exchange : ProxyExchange

        Returns
        -------
        bool
            Whether it may be dispatched now. If not, it is dispatched or refused later, or it has
            been refused.
        """
        if exchange.ended:
            return False
        if exchange.tokens.is_charged or not is_limited(exchange.customer):
            return True
        quota = exchange.customer.quota
        now_s = self._gateway.clock.seconds()
        account = self._account(exchange.customer)
        header = exchange.request.header(self._gateway.headers.token_counts)
        tokens = request_tokens(quota, header)
        exchange.tokens.tokens = tokens
        account.credit.record_demand(tokens, now_s)
        if tokens > largest_request(quota):
            message = "the request is larger than its customer's quota can ever be"
            exchange.refuse(Refusal(ErrorKind.QUOTA_EXCEEDED, message, NotRun.TRUE))
            return False
        if account.credit.take(tokens, now_s):
            COUNTERS.increment("gateway_quota_credit_used")
            self._mark_charged(exchange, True)
            self._ask_soon(exchange.customer, account)
            return True
        if self._in_touch():
            account.wanting.append(exchange)
            self._ask_soon(exchange.customer, account)
            return False
        if self._book_own(exchange, account, 1.0):
            return exchange.tokens.is_charged and not exchange.tokens.is_delayed
        self._refuse_unanswered(exchange, account)
        return False

    def release(self, exchange):
        """Return the tokens of a request that has ended, if it was never sent to an endpoint.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        wish = exchange.tokens
        if wish.is_granted and not exchange.tried_ids and not exchange.may_have_run:
            wish.is_granted = False
            self._return(exchange.customer.name, wish.tokens, False)

    def on_reply(self, message):
        """Process the leader's reply.

        Parameters
        ----------
        message : QuotaReply
        """
        now_s = self._gateway.clock.seconds()
        account = self._account_by_name.get(message.customer)
        asked = None
        if account is not None:
            asked = account.asked_by_number.get(message.number)
        # A late reply is followed by the timeout. This entry or the leader may have been frozen.
        if asked is None or now_s - asked.asked_s >= REPLY_TIMEOUT_S:
            COUNTERS.increment("gateway_quota_replies_late")
            return
        if len(asked.exchanges) + bool(asked.credit) != len(message.offers):
            COUNTERS.increment("gateway_quota_replies_malformed")
            return
        del account.asked_by_number[message.number]
        if asked.credit and message.offers[-1].is_granted:
            account.credit.add(asked.credit, asked.asked_s)
        for exchange, offer in zip(asked.exchanges, message.offers, strict=False):
            self._apply_offer(exchange, account, offer, now_s)

    def run_maintenance(self):
        """Return credit that has expired."""
        now_s = self._gateway.clock.seconds()
        for name, account in self._account_by_name.items():
            expired = account.credit.drop_expired(now_s)
            if expired:
                self._return(name, expired, True)

    def table_changed(self):
        """Void the credit that was granted under a quota that has changed."""
        customer_by_name = self._gateway.table.customer_by_name
        for name, account in list(self._account_by_name.items()):
            customer = customer_by_name.get(name)
            if is_limited(customer):
                self._account(customer)
            elif not account.wanting and not account.asked_by_number:
                del self._account_by_name[name]

    def _account(self, customer):
        account = self._account_by_name.get(customer.name)
        if account is None:
            account = CustomerAccount(customer.quota, OwnPace(self._random))
            self._account_by_name[customer.name] = account
        elif account.quota != customer.quota:
            account.change_quota(customer.quota)
        return account

    def _in_touch(self):
        in_touch = self._gateway.link.leader_answers_within(OWN_PACE_AFTER_S)
        if in_touch == self._is_out_of_touch:
            self._is_out_of_touch = not in_touch
            logger.info("quotas are paced", extra={"by": "leader" if in_touch else "this entry"})
        return in_touch

    def _book_own(self, exchange, account, share):
        """Charge a request to this entry's own share of the rate, now or in a moment.

        Parameters
        ----------
        exchange : ProxyExchange
        account : CustomerAccount
        share : float
            Part of the equal share that may be used.

        Returns
        -------
        bool
            Whether it was charged.
        """
        entries = self._gateway.link.reported_entries
        if not entries:
            return False
        now_s = self._gateway.clock.seconds()
        interval_s = exchange.tokens.tokens * entries / (account.quota.per_s * share)
        booked_s = account.own_pace.book(self._longest_wait_s(exchange), interval_s, now_s)
        if booked_s is None:
            return False
        COUNTERS.increment("gateway_quota_own_share")
        self._mark_charged(exchange, False)
        if booked_s > now_s:
            exchange.tokens.is_delayed = True
            self._gateway.clock.callLater(booked_s - now_s, exchange.dispatch)
        return True

    def _ask_soon(self, customer, account):
        now_s = self._gateway.clock.seconds()
        if account.is_asking or not (account.wanting or self._wanted_credit(account, now_s)):
            return
        account.is_asking = True
        # Tokens for requests that come in one turn are asked for together.
        delay_s = 0.0
        if account.declined_s is not None and now_s - account.declined_s < DECLINED_FOR_S:
            delay_s = COLLECT_S
        self._gateway.clock.callLater(delay_s, self._ask, customer.name, account)

    def _ask(self, name, account):
        account.is_asking = False
        now_s = self._gateway.clock.seconds()
        exchanges = [exchange for exchange in account.wanting if not exchange.ended]
        account.wanting = []
        asks = [self._wish_of(exchange) for exchange in exchanges]
        credit = self._wanted_credit(account, now_s)
        if credit:
            asks.append(QuotaAsk(credit, 0))
        if not asks:
            return
        self._number += 1
        account.asked_by_number[self._number] = AskedTokens(exchanges, credit, now_s)
        entries = self._gateway.link.reported_entries
        self._gateway.send_to_leader(QuotaRequest(name, self._number, tuple(asks), entries))
        self._gateway.clock.callLater(REPLY_TIMEOUT_S, self._on_timeout, account, self._number)

    def _wish_of(self, exchange):
        wait_ms = int(self._longest_wait_s(exchange) * MS_PER_S)
        return_ms = max(1, int(exchange.left_s * MAX_RETRY_AFTER_FRACTION * MS_PER_S))
        mark = int(exchange.content.fingerprint[:MARK_DIGITS], 16)
        return QuotaAsk(exchange.tokens.tokens, wait_ms, return_ms, mark)

    def _wanted_credit(self, account, now_s):
        if account.has_asked_credit():
            return 0.0
        entries = self._gateway.link.reported_entries
        return account.credit.wanted(account.quota, entries, now_s)

    def _longest_wait_s(self, exchange):
        left_s = min(exchange.target_s, exchange.deadline_s) - exchange.now_s()
        return min(MAX_WAIT_S, max(0.0, left_s / 2))

    def _on_timeout(self, account, number):
        asked = account.asked_by_number.pop(number, None)
        if asked is None:
            return
        COUNTERS.increment("gateway_quota_requests_timed_out")
        for exchange in asked.exchanges:
            if not exchange.ended:
                self._continue_unanswered(exchange, account)

    def _continue_unanswered(self, exchange, account):
        """Serve a request that the leader did not answer, ask again, or refuse it.

        A leader is replaced within a second or two. Clients that can wait for as long would gain
        nothing from a refusal.
        """
        if self._book_own(exchange, account, UNANSWERED_SHARE):
            if not exchange.tokens.is_delayed:
                exchange.dispatch()
            return
        if exchange.may_wait_s > REPLY_TIMEOUT_S:
            account.wanting.append(exchange)
            self._ask_soon(exchange.customer, account)
            return
        self._refuse_unanswered(exchange, account)

    def _apply_offer(self, exchange, account, offer, now_s):
        if not offer.is_granted:
            account.declined_s = now_s
            message = "the customer's quota is used up"
            kind = ErrorKind.QUOTA_EXCEEDED
            exchange.refuse(Refusal.of(kind, message, retry_after_ms=offer.after_ms))
            return
        self._mark_charged(exchange, True)
        if exchange.ended:
            self.release(exchange)
        elif offer.after_ms:
            self._gateway.clock.callLater(offer.after_ms / MS_PER_S, exchange.dispatch)
        else:
            exchange.dispatch()

    def _mark_charged(self, exchange, is_granted):
        exchange.tokens.is_charged = True
        exchange.tokens.is_granted = is_granted

    def _refuse_unanswered(self, exchange, account):
        # Only the leader knows whether the quota is used up.
        message = "the leader does not answer for the customer's quota"
        after_s = RETRY_S
        if account.own_pace.next_s is not None:
            after_s = max(RETRY_S, account.own_pace.next_s - self._gateway.clock.seconds())
        retry_after_ms = max(1, ceil(after_s * MS_PER_S))
        exchange.refuse(Refusal.of(ErrorKind.NO_CONTROL, message, retry_after_ms=retry_after_ms))

    def _return(self, name, tokens, is_credit):
        self._gateway.send_to_leader(QuotaReturn(name, tokens, is_credit))
