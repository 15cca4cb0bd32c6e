"""Test how the leader grants the tokens of customers to entries."""

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from support import settings as control_settings
from twisted.internet.task import Clock

from hemlockdock_control.fleet.entry_roster import SILENT_AFTER_S, EntryCounts
from hemlockdock_control.fleet.nodes import FleetNodes
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_control.quotas.quota_account import RESERVATION_VALID_S, QuotaAccount
from hemlockdock_control.quotas.quota_ledger import QuotaLedger
from hemlockdock_control.state import ClusterStateMachine
from hemlockdock_core.messages import NODE_CODEC, QuotaReply, QuotaRequest, QuotaReturn, TokenClaim
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame
from hemlockdock_core.metrics import GAUGES
from hemlockdock_core.quota_bounds import largest_request
from hemlockdock_core.routes.manifest import RouteManifest
from hemlockdock_core.rows import CustomerRow, LimitsRow, TokenQuota

WINDOW_S = 8.0
QUOTA = TokenQuota(1_000.0, 2_000.0, 100.0)
ONE = EntryCounts(1, 0)


def allowed(quota):
    """Return the tokens that may reach endpoints in a window, as the users state it."""
    return (quota.per_s * WINDOW_S + quota.burst) * 1.1 + 7_400


def manifest(quota, name="acme"):
    limits = LimitsRow(1, 1_000, 10_000, 3_000, 15_000)
    return RouteManifest(limits, (), (), (CustomerRow(name, (), 0, quota),))


class QuotaAccountTest(unittest.TestCase):
    def setUp(self):
        self.account = QuotaAccount(QUOTA, 0.0)

    def grant(self, tokens, now_s, wait_s=0.0, fingerprint=0):
        return self.account.grant(tokens, wait_s, fingerprint, QUOTA.per_s, now_s)

    def reserve(self, tokens, now_s, fingerprint, longest_s=9.0):
        return self.account.reserve(tokens, longest_s, fingerprint, QUOTA.per_s, now_s)

    def test_it_begins_without_tokens(self):
        """A new leader does not know what the last one granted."""
        self.assertIsNone(self.grant(100, 0.0))
        self.assertEqual(self.grant(100, 0.1), 0.1)

    def test_after_a_pause_the_burst_is_there_and_no_more(self):
        self.assertIsNotNone(self.grant(2_000, 60.0))
        self.assertIsNone(self.grant(100, 60.0))

    def test_tokens_are_granted_ahead_as_far_as_the_request_can_wait(self):
        self.assertAlmostEqual(self.grant(100, 0.0, wait_s=0.1), 0.1, 5)
        self.assertIsNone(self.grant(100, 0.0, wait_s=0.1))

    def test_a_request_larger_than_the_burst_is_served_after_a_pause(self):
        self.assertIsNone(self.grant(4_000, 1.9))
        self.assertIsNotNone(self.grant(4_000, 2.0))
        self.assertIsNone(self.grant(100, 4.0))
        self.assertIsNotNone(self.grant(100, 4.2))

    def test_the_largest_request_is_served_after_the_longest_pause(self):
        largest = largest_request(QUOTA)
        self.assertIsNone(self.grant(largest, 9.0))
        self.assertIsNotNone(self.grant(largest, 11.0))

    def test_refused_clients_return_one_after_the_other(self):
        dues_s = [self.reserve(100, 0.0, fingerprint) for fingerprint in (1, 2, 3)]
        self.assertEqual(sorted(dues_s), dues_s)
        self.assertEqual(len(set(dues_s)), 3)

    def test_who_returns_when_told_finds_its_tokens_though_others_ask_all_the_time(self):
        dues_s = {fingerprint: self.reserve(300, 0.0, fingerprint) for fingerprint in range(1, 6)}
        for step in range(1, 500):
            now_s = step / 100
            for fingerprint, due_s in dues_s.items():
                if now_s - 0.01 < due_s <= now_s:
                    self.assertIsNotNone(self.grant(300, now_s, fingerprint=fingerprint))
            self.grant(100, now_s, fingerprint=99)

    def test_who_claims_early_takes_nothing_from_who_is_before(self):
        self.grant(100, 0.1)
        dues_s = [self.reserve(60, 0.1, fingerprint) for fingerprint in (1, 2)]
        now_s = dues_s[0] - 0.001
        self.assertAlmostEqual(self.grant(60, now_s, wait_s=0.15, fingerprint=2), dues_s[1])
        self.assertIsNotNone(self.grant(60, dues_s[0], fingerprint=1))

    def test_tokens_of_who_does_not_return_go_to_others(self):
        due_s = self.reserve(2_000, 0.0, 1)
        self.assertIsNone(self.grant(500, due_s - 0.1))
        self.assertIsNotNone(self.grant(2_000, due_s + RESERVATION_VALID_S + 0.01))

    def test_nothing_is_withheld_for_who_returns_too_early(self):
        self.reserve(2_000, 0.0, 1, longest_s=0.5)
        self.assertIsNotNone(self.grant(100, 0.1))

    def test_credit_comes_out_of_what_is_left_of_the_burst(self):
        self.assertTrue(self.account.grant_credit(300, QUOTA.per_s, 9.0))
        self.grant(1_000, 9.0)
        self.assertFalse(self.account.grant_credit(300, QUOTA.per_s, 9.0))

    def test_tokens_of_requests_that_were_not_sent_count_again(self):
        self.grant(2_000, 60.0)
        self.account.give_back(500, False)
        self.assertIsNotNone(self.grant(500, 60.0))

    def test_promises_outlast_a_quota_that_is_raised(self):
        due_s = self.reserve(500, 0.0, 1)
        self.account.change(TokenQuota(2_000.0, 2_000.0, 100.0), 0.1)
        self.assertIsNone(self.grant(100, 0.2))
        self.assertIsNotNone(self.grant(500, due_s, fingerprint=1))

    def test_a_lower_quota_applies_at_once(self):
        self.account = QuotaAccount(TokenQuota(1_000.0, 9_000.0, 100.0), 0.0)
        self.account.change(TokenQuota(100.0, 2_200.0, 100.0), 60.0)
        self.assertIsNotNone(self.account.grant(2_200, 0.0, 0, 100.0, 60.0))
        self.assertIsNone(self.account.grant(100, 0.9, 0, 100.0, 60.0))

    @settings(derandomize=True, database=None, deadline=None, max_examples=60)
    @given(st.integers(0, 1_000_000), st.sampled_from((0.0, 300.0, 20_000.0)))
    def test_no_window_exceeds_the_bound_whatever_is_given_back(self, seed, burst):
        """Guards against tokens of an earlier window that count again in a later one."""
        source = random.Random(seed)
        quota = TokenQuota(source.choice((200.0, 4_000.0)), burst, 100.0)
        account = QuotaAccount(quota, 0.0)
        used = []
        held = []
        now_s = 0.0
        while now_s < 60.0:
            now_s += source.expovariate(4.0 * quota.per_s / 600.0) * source.choice((0.0, 1.0, 3.0))
            tokens = source.choice((100.0, 600.0, 2_900.0, 9_000.0))
            if tokens > largest_request(quota):
                continue
            fingerprint = source.randrange(20)
            valid_s = account.grant(tokens, 0.1, fingerprint, quota.per_s, now_s)
            if valid_s is None:
                account.reserve(tokens, 4.0, fingerprint, quota.per_s, now_s)
            elif source.random() < 0.3:
                held.append(tokens)
            else:
                used.append((valid_s, tokens))
            while held and source.random() < 0.1:
                account.give_back(held.pop(), False)
        for begin_s, _ in used:
            inside = sum(each for at_s, each in used if begin_s <= at_s < begin_s + WINDOW_S)
            self.assertLessEqual(inside, allowed(quota))


class QuotaLedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = QuotaLedger(0.0)
        self.ledger.update(manifest(QUOTA))

    def ask(self, tokens, now_s, counts=ONE, customer="acme", wait_ms=0):
        claims = (TokenClaim(tokens, wait_ms, 1_000, 1),)
        reply = self.ledger.answer(QuotaRequest(customer, 7, claims, 1), counts, now_s)
        self.assertEqual((reply.customer, reply.number, len(reply.decisions)), (customer, 7, 1))
        return reply.decisions[0]

    def test_a_customer_that_comes_late_has_its_burst(self):
        """Its account begins when the leader does, not with its first request."""
        self.assertTrue(self.ask(2_000, 60.0).is_granted)

    def test_a_declined_ask_learns_when_there_will_be_tokens(self):
        self.assertEqual(self.ask(500, 0.2).after_ms, 300)
        # Those that were told when to return get half of the rate.
        self.assertEqual(self.ask(500, 0.2).after_ms, 1_300)

    def test_the_share_of_silent_entries_is_not_granted(self):
        self.ask(2_000, 60.0, EntryCounts(4, 2))
        self.assertFalse(self.ask(1_000, 61.0, EntryCounts(4, 2)).is_granted)
        self.assertTrue(self.ask(1_000, 62.01, EntryCounts(4, 2)).is_granted)

    def test_a_customer_without_quota_is_not_limited(self):
        for quota in (None, TokenQuota(0.0, 0.0, 1.0)):
            self.ledger.update(manifest(quota))
            self.assertTrue(self.ask(1e6, 0.0).is_granted)

    def test_a_quota_that_is_raised_applies_at_once(self):
        self.assertTrue(self.ask(2_000, 60.0).is_granted)
        self.ledger.update(manifest(TokenQuota(10_000.0, 2_000.0, 100.0)))
        self.assertTrue(self.ask(1_000, 60.2, wait_ms=100).is_granted)

    def test_operators_see_what_a_customer_has_left(self):
        self.ask(1_500, 60.0)
        self.ledger.record_use()
        key = ("control_customer_tokens_left", (("customer", "acme"),))
        self.assertEqual(GAUGES.value_by_key[key], 500)
        self.ledger.clear(60.0)
        self.ledger.record_use()
        self.assertNotIn(key, GAUGES.value_by_key)

    def test_a_new_leader_begins_without_burst(self):
        self.ledger.clear(60.0)
        self.ledger.update(manifest(QUOTA))
        self.assertFalse(self.ask(500, 60.0).is_granted)


class QuotaMessagesTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.replicator = mock.Mock(has_lease=True)
        machine = ClusterStateMachine(control_settings())
        machine.state.routes.manifest = manifest(QUOTA)
        self.limits = RequestLimits(0.0)
        self.nodes = FleetNodes(
            mock.Mock(),
            self.replicator,
            machine,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            self.clock,
            lambda address, message: self.sent.append(message),
            mock.Mock(),
            mock.Mock(),
            self.limits,
        )
        self.clock.advance(60.0)

    def receive(self, message):
        data = NODE_CODEC.encode(Frame(PROTOCOL_VERSION, "entry-1", 1, "tcp://e", message))
        self.nodes.on_frame(NODE_CODEC.decode(data))

    def ask(self):
        self.receive(QuotaRequest("acme", 1, (TokenClaim(2_000, 0, 1_000, 1),), 1))

    def granted(self):
        replies = [NODE_CODEC.decode(NODE_CODEC.encode(self._frame(m))).body for m in self.sent]
        self.sent.clear()
        return [reply.decisions[0].is_granted for reply in replies if isinstance(reply, QuotaReply)]

    def _frame(self, message):
        return Frame(PROTOCOL_VERSION, "member", 1, "", message)

    def test_an_entry_gets_tokens_once_and_again_when_it_returned_them(self):
        self.ask()
        self.ask()
        self.assertEqual(self.granted(), [True, False])
        self.receive(QuotaReturn("acme", 1_000, False))
        self.receive(QuotaRequest("acme", 1, (TokenClaim(1_000, 0, 1_000, 1),), 1))
        self.assertEqual(self.granted(), [True])

    def test_a_member_without_a_lease_does_not_answer(self):
        """Another member may already lead, and would grant the same tokens."""
        self.replicator.has_lease = False
        self.ask()
        self.assertEqual(self.sent, [])

    def test_an_entry_that_asks_is_not_silent(self):
        self.ask()
        self.assertEqual(self.limits.roster.counts(60.0 + SILENT_AFTER_S).silent, 0)


if __name__ == "__main__":
    unittest.main()
