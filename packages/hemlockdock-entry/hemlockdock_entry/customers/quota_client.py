"""Claim the tokens of customers' requests from the leader."""

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.messages import QuotaRequest, QuotaReturn, TokenClaim
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.quota_bounds import is_limited, largest_request
from hemlockdock_entry.customers.customer_quota_state import CustomerQuotaState, UnansweredClaims
from hemlockdock_entry.customers.own_quota_share import UNANSWERED_SHARE, OwnQuotaShare
from hemlockdock_entry.customers.request_tokens import request_tokens
from hemlockdock_entry.customers.token_wait import max_token_wait_s
from hemlockdock_entry.leader_times import REPLY_TIMEOUT_S
from hemlockdock_entry.own_pace import OwnPace
from hemlockdock_entry.retry_after import MAX_RETRY_AFTER_FRACTION

MS_PER_S = 1_000
# While the leader has declined a request within this time, claims are collected before they are
# sent, so that its replies stay within 2 KB/s.
DECLINED_FOR_S = 0.25
COLLECT_S = 0.05
FINGERPRINT_DIGITS = 12


class QuotaClient:
    """Charges customers' requests to their quotas, which the leader keeps.

    A request of a customer with a quota is charged before it is dispatched: to credit that the
    leader granted in advance, or by claiming its tokens from the leader. Without answers of the
    leader, it is charged to the entry's own share of the rate.

    Parameters
    ----------
    gateway : Gateway
    random_source : random.Random
    """

    def __init__(self, gateway, random_source):
        self._gateway = gateway
        self._random = random_source
        self._number = 0
        self._state_by_name = {}
        self._own_share = OwnQuotaShare(gateway)

    def charge(self, exchange):
        """Charge a request, claim its tokens from the leader, or refuse it.

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
        if exchange.token_charge.is_charged or not is_limited(exchange.customer):
            return True
        quota = exchange.customer.quota
        now_s = self._gateway.clock.seconds()
        state = self._state(exchange.customer)
        header = exchange.request.header(self._gateway.headers.token_counts)
        tokens = request_tokens(quota, header)
        exchange.token_charge.tokens = tokens
        state.credit.record_demand(tokens, now_s)
        if tokens > largest_request(quota):
            message = "the request needs more tokens than its customer's quota can ever grant"
            exchange.refuse(Refusal(ErrorKind.QUOTA_EXCEEDED, message, NotRun.TRUE))
            return False
        if state.credit.take(tokens, now_s):
            COUNTERS.increment("gateway_quota_credit_used")
            exchange.token_charge.record(state.customer, by_leader=True)
            self._schedule_request(state)
            return True
        if self._own_share.leader_answers():
            state.unasked_exchanges.append(exchange)
            self._schedule_request(state)
            return False
        if self._own_share.book(exchange, state):
            return not exchange.token_charge.is_delayed
        self._own_share.refuse(exchange, state)
        return False

    def release(self, exchange):
        """Return the tokens of a request that has ended, if it was never sent to an endpoint.

        Parameters
        ----------
        exchange : ProxyExchange
        """
        charge = exchange.token_charge
        if charge.by_leader and not exchange.tried_ids and not exchange.may_have_run:
            charge.by_leader = False
            self._return(charge.customer, charge.tokens, False)

    def on_reply(self, message):
        """Process the leader's reply.

        Parameters
        ----------
        message : QuotaReply
        """
        now_s = self._gateway.clock.seconds()
        state = self._state_by_name.get(message.customer)
        claims = None
        if state is not None:
            claims = state.unanswered_by_number.get(message.number)
        # A late reply is followed by the timeout. This entry or the leader may have been frozen.
        if claims is None or now_s - claims.sent_s >= REPLY_TIMEOUT_S:
            COUNTERS.increment("gateway_quota_replies_late")
            return
        if len(claims.exchanges) + bool(claims.credit) != len(message.decisions):
            COUNTERS.increment("gateway_quota_replies_malformed")
            return
        del state.unanswered_by_number[message.number]
        if claims.credit and message.decisions[-1].is_granted:
            state.credit.add(claims.credit, claims.sent_s)
        for exchange, decision in zip(claims.exchanges, message.decisions, strict=False):
            self._apply_decision(exchange, state, decision, now_s)

    def run_maintenance(self):
        """Return credit that has expired."""
        now_s = self._gateway.clock.seconds()
        for name, state in self._state_by_name.items():
            expired = state.credit.drop_expired(now_s)
            if expired:
                self._return(name, expired, True)

    def table_changed(self):
        """Void the credit that was granted under a quota that has changed."""
        customer_by_name = self._gateway.table.customer_by_name
        for name, state in list(self._state_by_name.items()):
            customer = customer_by_name.get(name)
            if is_limited(customer):
                self._state(customer)
            elif not state.unasked_exchanges and not state.unanswered_by_number:
                del self._state_by_name[name]

    def _state(self, customer):
        state = self._state_by_name.get(customer.name)
        if state is None:
            state = CustomerQuotaState(customer.name, customer.quota, OwnPace(self._random))
            self._state_by_name[customer.name] = state
        elif state.quota != customer.quota:
            state.change_quota(customer.quota)
        return state

    def _schedule_request(self, state):
        now_s = self._gateway.clock.seconds()
        if state.is_request_scheduled:
            return
        if not state.unasked_exchanges and not self._wanted_credit(state, now_s):
            return
        state.is_request_scheduled = True
        # Tokens of requests that arrive in one reactor turn are claimed in one message.
        delay_s = 0.0
        if state.declined_s is not None and now_s - state.declined_s < DECLINED_FOR_S:
            delay_s = COLLECT_S
        self._gateway.clock.callLater(delay_s, self._claim_tokens, state)

    def _claim_tokens(self, state):
        state.is_request_scheduled = False
        now_s = self._gateway.clock.seconds()
        exchanges = [exchange for exchange in state.unasked_exchanges if not exchange.ended]
        state.unasked_exchanges = []
        claims = [self._claim_of(exchange) for exchange in exchanges]
        credit = self._wanted_credit(state, now_s)
        if credit:
            claims.append(TokenClaim(credit, 0, is_credit=True))
        if not claims:
            return
        self._number += 1
        state.unanswered_by_number[self._number] = UnansweredClaims(exchanges, credit, now_s)
        entries = self._gateway.link.reported_entries
        request = QuotaRequest(state.customer, self._number, tuple(claims), entries)
        self._gateway.send_to_leader(request)
        self._gateway.clock.callLater(REPLY_TIMEOUT_S, self._on_timeout, state, self._number)

    def _claim_of(self, exchange):
        wait_ms = int(max_token_wait_s(exchange) * MS_PER_S)
        max_retry_after_ms = max(1, int(exchange.left_s * MAX_RETRY_AFTER_FRACTION * MS_PER_S))
        fingerprint = int(exchange.content.fingerprint[:FINGERPRINT_DIGITS], 16)
        return TokenClaim(exchange.token_charge.tokens, wait_ms, max_retry_after_ms, fingerprint)

    def _wanted_credit(self, state, now_s):
        if state.has_claimed_credit():
            return 0.0
        entries = self._gateway.link.reported_entries
        return state.credit.wanted(state.quota, entries, now_s)

    def _on_timeout(self, state, number):
        claims = state.unanswered_by_number.pop(number, None)
        if claims is None:
            return
        COUNTERS.increment("gateway_quota_requests_timed_out")
        for exchange in claims.exchanges:
            if not exchange.ended:
                self._continue_unanswered(exchange, state)

    def _continue_unanswered(self, exchange, state):
        """Serve a request that the leader did not answer, claim its tokens again, or refuse it.

        A leader is replaced within a second or two. Clients that can wait for as long would gain
        nothing from a refusal.
        """
        if self._own_share.book(exchange, state, UNANSWERED_SHARE):
            if not exchange.token_charge.is_delayed:
                exchange.dispatch()
            return
        if exchange.may_wait_s > REPLY_TIMEOUT_S:
            state.unasked_exchanges.append(exchange)
            self._schedule_request(state)
            return
        self._own_share.refuse(exchange, state)

    def _apply_decision(self, exchange, state, decision, now_s):
        if not decision.is_granted:
            state.declined_s = now_s
            message = "the customer's quota is used up"
            kind = ErrorKind.QUOTA_EXCEEDED
            exchange.refuse(Refusal.of(kind, message, retry_after_ms=decision.after_ms))
            return
        exchange.token_charge.record(state.customer, by_leader=True)
        if exchange.ended:
            self.release(exchange)
        elif decision.after_ms:
            self._gateway.clock.callLater(decision.after_ms / MS_PER_S, exchange.dispatch)
        else:
            exchange.dispatch()

    def _return(self, name, tokens, is_credit):
        self._gateway.send_to_leader(QuotaReturn(name, tokens, is_credit))
