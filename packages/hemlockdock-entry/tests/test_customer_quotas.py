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
        self.assertEqual(request_tokens(QUOTA, b"700, 300"), 1_000)

    def test_a_request_that_states_none_counts_the_default(self):
        for value in (b"", b"700", b"a,b", b"-1,2", b"1,2,3", b"9" * 13 + b",1"):
            self.assertIsNone(stated_tokens(value))
            self.assertEqual(request_tokens(QUOTA, value), 100)

    def test_requests_count_alike_where_tokens_are_not_the_unit(self):
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

    def asked(self):
        """Return the latest request for tokens."""
        self.reactor.advance(0)
        return self.sent(QuotaRequest)[-1]

    def reply(self, *decisions, credit=None):
        """Answer the latest request; credit that it asks for is declined unless told otherwise."""
        asked = self.asked()
        decisions = list(decisions)
        if len(asked.claims) > len(decisions):
            decisions.append(TokenDecision(bool(credit), 0))
        self.quotas.on_reply(QuotaReply("acme", asked.number, tuple(decisions)))


class QuotaTest(QuotaTestCase):
    def test_a_request_is_sent_once_the_leader_grants_its_tokens(self):
        self.request()
        self.assertEqual(self.waiting_ports, [])
        self.assertEqual(self.asked().claims[0].tokens, 1_000)
        self.reply(TokenDecision(True, 0))
        self.assertEqual(len(self.waiting_ports), 1)

    def test_a_request_waits_for_the_time_of_its_tokens(self):
        self.request()
        self.reply(TokenDecision(True, 80))
        self.assertEqual(self.waiting_ports, [])
        self.reactor.advance(0.08)
        self.assertEqual(len(self.waiting_ports), 1)

    def test_a_request_over_the_quota_is_refused_at_once_with_the_leader_s_time(self):
        client = self.request()
        self.reply(TokenDecision(False, 1_400))
        self.assertEqual(client.status, 429)
        self.assertIn(b"Retry-After: 1.40", client.received)
        self.assertEqual(self.waiting_ports, [])

    def test_requests_that_come_together_are_asked_for_together(self):
        self.request()
        self.request()
        self.assertGreaterEqual(len(self.asked().claims), 2)
        self.assertEqual(len(self.sent(QuotaRequest)), 1)

    def test_after_a_refusal_requests_are_collected(self):
        """Replies to each of them would exceed what control may send to a node."""
        self.request()
        self.reply(TokenDecision(False, 1_400))
        for _ in range(3):
            self.request()
            self.reactor.advance(COLLECT_S / 4)
        self.assertEqual(len(self.sent(QuotaRequest)), 1)
        self.reactor.advance(COLLECT_S)
        self.assertEqual(len(self.sent(QuotaRequest)), 2)

    def test_a_leader_that_does_not_answer_is_no_reason_for_429(self):
        self.link.reported_entries = 0
        client = self.request()
        for _ in range(10):
            self.reactor.advance(0)
            self.reactor.advance(REPLY_TIMEOUT_S)
        self.assertEqual(client.status, 503)
        self.assertIn(b"Retry-After: 0.25", client.received)
        self.assertEqual(self.waiting_ports, [])

    def test_a_request_that_can_wait_is_asked_for_again(self):
        """Guards against refusals during the second in which a leader is replaced."""
        self.link.reported_entries = 0
        client = self.request()
        self.asked()
        self.reactor.advance(REPLY_TIMEOUT_S)
        self.assertEqual(client.status, None)
        self.reply(TokenDecision(True, 0))
        self.assertEqual(len(self.waiting_ports), 1)

    def test_a_leader_that_does_not_answer_leaves_half_of_the_own_share(self):
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
        client = self.request()
        asked = self.asked()
        decisions = (TokenDecision(True, 0),) * len(asked.claims)
        self.reactor.advance(REPLY_TIMEOUT_S)
        for _ in range(2):
            self.quotas.on_reply(QuotaReply("acme", asked.number, decisions))
        self.assertEqual((client.status, self.waiting_ports), (None, []))
        self.request()
        self.assertEqual(self.waiting_ports, [])

    def test_a_request_that_can_never_be_served_gets_no_time_to_return(self):
        client = self.request(b"X-Tokens: 900000,1\r\n")
        self.assertEqual(client.status, 429)
        self.assertNotIn(b"Retry-After", client.received)

    def test_a_customer_without_quota_needs_no_tokens(self):
        self.set_quota(None)
        self.request()
        self.assertEqual(len(self.waiting_ports), 1)
        self.assertEqual(self.sent(QuotaRequest), [])

    def test_a_request_that_was_not_sent_gives_its_tokens_back(self):
        client = self.request()
        self.reply(TokenDecision(True, 80))
        client.disconnect_client()
        self.assertEqual(self.sent(QuotaReturn), [QuotaReturn("acme", 1_000.0, False)])

    def test_a_request_that_may_have_run_keeps_its_tokens(self):
        client = self.request()
        self.reply(TokenDecision(True, 0))
        self.harness.connect()
        client.disconnect_client()
        self.assertEqual(self.sent(QuotaReturn), [])


class CreditTest(QuotaTestCase):
    def setUp(self):
        super().setUp()
        for _ in range(4):
            self.request()
        self.reply(*[TokenDecision(True, 0)] * 4, credit=True)
        self.before = len(self.waiting_ports)

    def test_a_request_is_sent_at_once_where_there_is_credit(self):
        self.request()
        self.assertEqual(len(self.waiting_ports), self.before + 1)

    def test_credit_expires_and_is_returned(self):
        self.reactor.advance(CREDIT_VALID_S)
        self.request()
        self.assertEqual(len(self.waiting_ports), self.before)
        self.quotas.run_maintenance()
        returned = self.sent(QuotaReturn)
        self.assertTrue(returned and returned[0].is_credit and returned[0].tokens >= 900)

    def test_credit_of_another_quota_is_void(self):
        self.set_quota(TokenQuota(9_000.0, 20_000.0, 100.0))
        self.request()
        self.assertEqual(len(self.waiting_ports), self.before)


class OutOfTouchTest(QuotaTestCase):
    def setUp(self):
        super().setUp()
        self.link.issues_permits = False
        self.link.reported_entries = 10

    def test_an_entry_out_of_touch_keeps_to_its_share(self):
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
