"""Test that requests of a customer with a quota are dispatched with tokens only."""

import unittest

from support_gateway import AT_MOST_ONCE_PATH, GatewayTestCase

from hemlockdock_core.customer_keys import key_digest
from hemlockdock_core.messages import QuotaReply, QuotaRequest, QuotaReturn, TokenDecision
from hemlockdock_core.quota_bounds import CREDIT_VALID_S
from hemlockdock_core.rows import CustomerRow, LimitsRow, TokenQuota
from hemlockdock_entry.customers.quota_client import COLLECT_S
from hemlockdock_entry.customers.request_tokens import request_tokens, stated_tokens
from hemlockdock_entry.leader_times import REPLY_TIMEOUT_S

QUOTA = TokenQuota(10_000.0, 20_000.0, 100.0)
KEY = b"X-Customer-Key: k\r\n"
TOKENS = b"X-Tokens: 700,300\r\n"


class RequestTokensTest(unittest.TestCase):
    def test_a_request_counts_its_prompt_and_its_longest_output(self):
        """Guards against a count of only one of the two numbers."""
        self.assertEqual(request_tokens(QUOTA, b"700, 300"), 1_000)

    def test_a_request_that_states_no_tokens_counts_the_default(self):
        """Guards against requests that are free, or fail, because of a malformed header."""
        for value in (b"", b"700", b"a,b", b"-1,2", b"1,2,3", b"9" * 13 + b",1"):
            self.assertIsNone(stated_tokens(value))
            self.assertEqual(request_tokens(QUOTA, value), 100)

    def test_requests_count_alike_where_tokens_are_not_the_unit(self):
        """Guards against a quota of requests that is used up by the tokens of one."""
        quota = TokenQuota(10.0, 20.0, 1.0, counts_tokens=False)
        self.assertEqual(request_tokens(quota, b"700,300"), 1)


class QuotaTestCase(GatewayTestCase):
    def setUp(self):
        super().setUp()
        self.link = self.harness.link
        self.link.issues_permits = True
        self.quotas = self.harness.gateway.quotas
        self.set_quota(QUOTA)

    def set_quota(self, quota):
        limits = LimitsRow(1, 1_000, 10_000, 3_000, 15_000, requires_keys=True)
        self.harness.put_rows(limits, CustomerRow("acme", (key_digest(b"k"),), 0, quota))

    def request(self, tokens=TOKENS, path=AT_MOST_ONCE_PATH):
        return self.send(path, extra=KEY + tokens)

    def sent(self, kind):
        return [message for message in self.link.sent if isinstance(message, kind)]

    def latest_request(self):
        """Return the latest request for tokens."""
        self.reactor.advance(0)
        return self.sent(QuotaRequest)[-1]

    def reply(self, *decisions, credit=None):
        """Answer the latest request; credit that it asks for is declined unless told otherwise."""
        request = self.latest_request()
        decisions = list(decisions)
        if len(request.claims) > len(decisions):
            decisions.append(TokenDecision(bool(credit), 0))
        self.quotas.on_reply(QuotaReply("acme", request.number, tuple(decisions)))


class QuotaTest(QuotaTestCase):
    def test_a_request_is_sent_once_the_leader_grants_its_tokens(self):
        """Guards against a dispatch before the leader has decided."""
        self.request()
        self.assertEqual(self.waiting_ports, [])
        self.assertEqual(self.latest_request().claims[0].tokens, 1_000)
        self.reply(TokenDecision(True, 0))
        self.assertEqual(len(self.waiting_ports), 1)

    def test_a_request_waits_until_its_tokens_are_valid(self):
        """Guards against a dispatch before tokens that were granted ahead have accrued."""
        self.request()
        self.reply(TokenDecision(True, 80))
        self.assertEqual(self.waiting_ports, [])
        self.reactor.advance(0.08)
        self.assertEqual(len(self.waiting_ports), 1)

    def test_a_request_over_the_quota_is_refused_at_once_with_the_leader_s_time(self):
        """Guards against a Retry-After for which the leader has reserved no tokens."""
        client = self.request()
        self.reply(TokenDecision(False, 1_400))
        self.assertEqual(client.status, 429)
        self.assertIn(b"Retry-After: 1.40", client.received)
        self.assertEqual(self.waiting_ports, [])

    def test_requests_of_one_turn_are_claimed_in_one_message(self):
        """Guards against a message to the leader for each request of a burst."""
        self.request()
        self.request()
        self.assertGreaterEqual(len(self.latest_request().claims), 2)
        self.assertEqual(len(self.sent(QuotaRequest)), 1)

    def test_requests_after_a_decline_are_claimed_in_one_message(self):
        """Guards against more replies than the 2 KB/s that control may send to a node."""
        self.request()
        self.reply(TokenDecision(False, 1_400))
        for _ in range(3):
            self.request()
            self.reactor.advance(COLLECT_S / 4)
        self.assertEqual(len(self.sent(QuotaRequest)), 1)
        self.reactor.advance(COLLECT_S)
        self.assertEqual(len(self.sent(QuotaRequest)), 2)

    def test_a_request_that_the_leader_does_not_answer_gets_503(self):
        """Guards against a 429 for a customer that may be within its quota."""
        self.link.reported_entries = 0
        client = self.request()
        for _ in range(10):
            self.reactor.advance(0)
            self.reactor.advance(REPLY_TIMEOUT_S)
        self.assertEqual(client.status, 503)
        self.assertIn(b"Retry-After: 0.25", client.received)
        self.assertEqual(self.waiting_ports, [])

    def test_a_request_that_can_wait_is_claimed_again(self):
        """Guards against refusals during the second in which a leader is replaced."""
        self.link.reported_entries = 0
        client = self.request()
        self.latest_request()
        self.reactor.advance(REPLY_TIMEOUT_S)
        self.assertEqual(client.status, None)
        self.reply(TokenDecision(True, 0))
        self.assertEqual(len(self.waiting_ports), 1)

    def test_an_entry_uses_half_of_its_share_while_the_leader_does_not_answer(self):
        """Guards against a stop of all customers, and against more than the quota beside others."""
        self.link.reported_entries = 10
        for _ in range(200):
            self.request()
            self.reactor.advance(0)
            self.reactor.advance(REPLY_TIMEOUT_S)
        sent = len(self.waiting_ports)
        # 30 s at half of 10,000 / 10 a second, 1,000 a request.
        self.assertLessEqual(sent, 16)
        self.assertGreaterEqual(sent, 12)

    def test_late_and_repeated_replies_are_void(self):
        """Guards against a second use of tokens, or one in a later window."""
        client = self.request()
        request = self.latest_request()
        decisions = (TokenDecision(True, 0),) * len(request.claims)
        self.reactor.advance(REPLY_TIMEOUT_S)
        for _ in range(2):
            self.quotas.on_reply(QuotaReply("acme", request.number, decisions))
        self.assertEqual((client.status, self.waiting_ports), (None, []))
        self.request()
        self.assertEqual(self.waiting_ports, [])

    def test_a_request_that_can_never_be_served_gets_no_retry_after(self):
        """Guards against clients that retry a request larger than the quota can ever grant."""
        client = self.request(b"X-Tokens: 900000,1\r\n")
        self.assertEqual(client.status, 429)
        self.assertNotIn(b"Retry-After", client.received)

    def test_a_customer_without_quota_needs_no_tokens(self):
        """Guards against a dependence on the leader for customers without a limit."""
        self.set_quota(None)
        self.request()
        self.assertEqual(len(self.waiting_ports), 1)
        self.assertEqual(self.sent(QuotaRequest), [])

    def test_a_request_that_was_not_sent_returns_its_tokens(self):
        """Guards against a quota that is used up by requests of clients that gave up."""
        client = self.request()
        self.reply(TokenDecision(True, 80))
        client.disconnect_client()
        self.assertEqual(self.sent(QuotaReturn), [QuotaReturn("acme", 1_000.0, False)])

    def test_a_request_that_may_have_run_keeps_its_charge(self):
        """Guards against tokens that are used at an endpoint and returned as well."""
        client = self.request()
        self.reply(TokenDecision(True, 0))
        self.harness.connect()
        client.disconnect_client()
        self.assertEqual(self.sent(QuotaReturn), [])

    def move_key(self):
        """Move the key of the customer to another one with a quota."""
        self.harness.put_rows(
            CustomerRow("acme", (), 0, QUOTA), CustomerRow("other", (key_digest(b"k"),), 0, QUOTA)
        )

    def test_a_request_whose_key_moves_returns_its_tokens_to_the_customer_charged(self):
        """Guards against tokens of one customer that are returned to another's quota."""
        client = self.request()
        self.reply(TokenDecision(True, 80))
        self.move_key()
        client.disconnect_client()
        self.assertEqual(self.sent(QuotaReturn), [QuotaReturn("acme", 1_000.0, False)])

    def test_a_request_whose_key_moves_before_the_grant_returns_its_tokens_too(self):
        """Guards against a charge that is recorded for the customer at the time of the reply."""
        client = self.request()
        self.latest_request()
        self.move_key()
        client.disconnect_client()
        self.reply(TokenDecision(True, 0))
        self.assertEqual(self.sent(QuotaReturn), [QuotaReturn("acme", 1_000.0, False)])

    def test_a_request_whose_key_moves_is_claimed_again_from_the_same_customer(self):
        """Guards against a reply that names another customer and is dropped as late."""
        self.link.reported_entries = 0
        self.request()
        self.latest_request()
        self.move_key()
        self.reactor.advance(REPLY_TIMEOUT_S)
        self.assertEqual(
            [self.latest_request().customer, len(self.sent(QuotaRequest))], ["acme", 2]
        )
        self.reply(TokenDecision(True, 0))
        self.assertEqual(len(self.waiting_ports), 1)


class CreditTest(QuotaTestCase):
    def setUp(self):
        super().setUp()
        for _ in range(4):
            self.request()
        self.reply(*[TokenDecision(True, 0)] * 4, credit=True)
        self.before = len(self.waiting_ports)

    def test_a_request_is_sent_at_once_while_credit_covers_it(self):
        """Guards against a round trip to the leader despite credit."""
        self.request()
        self.assertEqual(len(self.waiting_ports), self.before + 1)

    def test_credit_that_expires_is_returned(self):
        """Guards against credit that is used in a later window, or lost to the customer."""
        self.reactor.advance(CREDIT_VALID_S)
        self.request()
        self.assertEqual(len(self.waiting_ports), self.before)
        self.quotas.run_maintenance()
        returned = self.sent(QuotaReturn)
        self.assertTrue(returned and returned[0].is_credit and returned[0].tokens >= 900)

    def test_credit_granted_under_an_earlier_quota_is_void(self):
        """Guards against more use than a lowered quota allows."""
        self.set_quota(TokenQuota(9_000.0, 20_000.0, 100.0))
        self.request()
        self.assertEqual(len(self.waiting_ports), self.before)


class OutOfTouchTest(QuotaTestCase):
    def setUp(self):
        super().setUp()
        self.link.issues_permits = False
        self.link.reported_entries = 10

    def test_an_entry_out_of_touch_keeps_to_its_share(self):
        """Guards against use of shares that the leader grants to other entries."""
        statuses = []
        for _ in range(200):
            statuses.append(self.request().status)
            self.reactor.advance(0.1)
        # 20 s at 10,000 / 10 a second, the first at a random time within the first second.
        self.assertLessEqual(statuses.count(None), 21)
        self.assertGreaterEqual(statuses.count(None), 17)
        self.assertNotIn(429, statuses)


if __name__ == "__main__":
    unittest.main()
