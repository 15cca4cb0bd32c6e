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
from hemlockdock_control.quotas import quota_account
from hemlockdock_control.quotas.quota_account import RESERVATION_VALID_S, QuotaAccount
from hemlockdock_control.quotas.quota_ledger import QuotaLedger
from hemlockdock_control.state import ClusterStateMachine
from hemlockdock_core import quota_bounds
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


class QuotaBoundsTest(unittest.TestCase):
    def test_the_named_bound_is_the_stated_one(self):
        """Guards against a change of the constants that the benchmark takes its bound from."""
        bounds = (quota_bounds.WINDOW_S, quota_bounds.OVERUSE_FACTOR, quota_bounds.OVERUSE_TOKENS)
        self.assertEqual(bounds, (WINDOW_S, 1.1, 7_400))

    def test_what_is_used_beyond_quotas_fits_the_bound(self):
        """Guards against a constant that is raised without regard to what the others use."""
        rates_s = quota_bounds.MIN_BURST_S + quota_bounds.CREDIT_S
        rates_s += 2 * quota_account.MAX_RETURNED_S + quota_bounds.MAX_WAIT_S
        tokens = quota_bounds.MIN_BURST_TOKENS + quota_bounds.MAX_EXCESS_TOKENS
        tokens += 2 * quota_account.MAX_RETURNED_TOKENS
        more = quota_bounds.OVERUSE_FACTOR - 1.0
        self.assertLessEqual(rates_s, more * quota_bounds.WINDOW_S)
        self.assertLessEqual(quota_bounds.CREDIT_BURST_FRACTION, more)
        self.assertLessEqual(tokens, quota_bounds.OVERUSE_TOKENS)


class QuotaAccountTest(unittest.TestCase):
    def setUp(self):
        self.account = QuotaAccount(QUOTA, 0.0)

    def grant(self, tokens, now_s, wait_s=0.0, fingerprint=0):
        return self.account.grant(tokens, wait_s, fingerprint, QUOTA.per_s, now_s)

    def reserve(self, tokens, now_s, fingerprint, longest_s=9.0):
        return self.account.reserve(tokens, longest_s, fingerprint, QUOTA.per_s, now_s)

    def test_an_account_begins_empty(self):
        """Guards against a new leader that grants what the last one granted already."""
        self.assertIsNone(self.grant(100, 0.0))
        self.assertEqual(self.grant(100, 0.1), 0.1)

    def test_a_pause_restores_the_burst_and_no_more(self):
        """Guards against tokens that accrue without bound while a customer is idle."""
        self.assertIsNotNone(self.grant(2_000, 60.0))
        self.assertIsNone(self.grant(100, 60.0))

    def test_tokens_are_granted_ahead_as_far_as_the_request_can_wait(self):
        """Guards against refusals for tokens that accrue in a moment, and against longer debts."""
        self.assertAlmostEqual(self.grant(100, 0.0, wait_s=0.1), 0.1, 5)
        self.assertIsNone(self.grant(100, 0.0, wait_s=0.1))

    def test_a_request_larger_than_the_burst_is_served_after_a_pause(self):
        """Guards against large requests that never get tokens, or that leave no debt."""
        self.assertIsNone(self.grant(4_000, 1.9))
        self.assertIsNotNone(self.grant(4_000, 2.0))
        self.assertIsNone(self.grant(100, 4.0))
        self.assertIsNotNone(self.grant(100, 4.2))

    def test_the_largest_request_is_served_after_the_longest_pause(self):
        """Guards against a request that no entry refuses and the leader never grants."""
        largest = largest_request(QUOTA)
        self.assertIsNone(self.grant(largest, 9.0))
        self.assertIsNotNone(self.grant(largest, 11.0))

    def test_declined_clients_are_told_different_times(self):
        """Guards against clients that retry together and find the tokens of one."""
        dues_s = [self.reserve(100, 0.0, fingerprint) for fingerprint in (1, 2, 3)]
        self.assertEqual(sorted(dues_s), dues_s)
        self.assertEqual(len(set(dues_s)), 3)

    def test_a_client_with_a_reservation_gets_its_tokens_while_others_claim_all_the_time(self):
        """Guards against a Retry-After that does not hold."""
        dues_s = {fingerprint: self.reserve(300, 0.0, fingerprint) for fingerprint in range(1, 6)}
        for step in range(1, 500):
            now_s = step / 100
            for fingerprint, due_s in dues_s.items():
                if now_s - 0.01 < due_s <= now_s:
                    self.assertIsNotNone(self.grant(300, now_s, fingerprint=fingerprint))
            self.grant(100, now_s, fingerprint=99)

    def test_an_early_claim_takes_nothing_from_an_earlier_reservation(self):
        """Guards against a Retry-After that does not hold because another client claims early."""
        self.grant(100, 0.1)
        dues_s = [self.reserve(60, 0.1, fingerprint) for fingerprint in (1, 2)]
        now_s = dues_s[0] - 0.001
        self.assertAlmostEqual(self.grant(60, now_s, wait_s=0.15, fingerprint=2), dues_s[1])
        self.assertIsNotNone(self.grant(60, dues_s[0], fingerprint=1))

    def test_a_reservation_that_is_not_claimed_expires(self):
        """Guards against a quota that is held by clients that have gone."""
        due_s = self.reserve(2_000, 0.0, 1)
        self.assertIsNone(self.grant(500, due_s - 0.1))
        self.assertIsNotNone(self.grant(2_000, due_s + RESERVATION_VALID_S + 0.01))

    def test_nothing_is_reserved_for_a_client_that_retries_too_early(self):
        """Guards against reservations that nobody can claim."""
        self.reserve(2_000, 0.0, 1, longest_s=0.5)
        self.assertIsNotNone(self.grant(100, 0.1))

    def test_credit_is_granted_from_the_upper_half_of_the_burst_only(self):
        """Guards against credit that takes the tokens of requests."""
        self.assertTrue(self.account.grant_credit(300, QUOTA.per_s, 9.0))
        self.grant(1_000, 9.0)
        self.assertFalse(self.account.grant_credit(300, QUOTA.per_s, 9.0))

    def test_tokens_of_requests_that_were_not_sent_count_again(self):
        """Guards against a quota that is used up by requests of clients that gave up."""
        self.grant(2_000, 60.0)
        self.account.give_back(500, False)
        self.assertIsNotNone(self.grant(500, 60.0))

    def test_reservations_outlast_a_quota_that_is_raised(self):
        """Guards against a Retry-After that does not hold because the customer got more quota."""
        due_s = self.reserve(500, 0.0, 1)
        self.account.change(TokenQuota(2_000.0, 2_000.0, 100.0), 0.1)
        self.assertIsNone(self.grant(100, 0.2))
        self.assertIsNotNone(self.grant(500, due_s, fingerprint=1))

    def test_a_lower_quota_applies_at_once(self):
        """Guards against a burst of the earlier quota after the change."""
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

    def claim(self, tokens, now_s, counts=ONE, customer="acme", wait_ms=0):
        claims = (TokenClaim(tokens, wait_ms, 1_000, 1),)
        reply = self.ledger.answer(QuotaRequest(customer, 7, claims, 1), counts, now_s)
        self.assertEqual((reply.customer, reply.number, len(reply.decisions)), (customer, 7, 1))
        return reply.decisions[0]

    def test_a_customer_that_comes_late_has_its_burst(self):
        """Guards against an account that begins with its first request, not with the leader."""
        self.assertTrue(self.claim(2_000, 60.0).is_granted)

    def test_a_declined_claim_gets_the_time_of_its_reservation(self):
        """Guards against a time that ignores the reservations before, at half of the rate."""
        self.assertEqual(self.claim(500, 0.2).after_ms, 300)
        # Reservations get half of the rate.
        self.assertEqual(self.claim(500, 0.2).after_ms, 1_300)

    def test_the_share_of_silent_entries_is_not_granted(self):
        """Guards against a double use of the share by which silent entries pace themselves."""
        self.claim(2_000, 60.0, EntryCounts(4, 2))
        self.assertFalse(self.claim(1_000, 61.0, EntryCounts(4, 2)).is_granted)
        self.assertTrue(self.claim(1_000, 62.01, EntryCounts(4, 2)).is_granted)

    def test_a_customer_without_quota_is_not_limited(self):
        """Guards against refusals by an entry that knows an earlier quota."""
        for quota in (None, TokenQuota(0.0, 0.0, 1.0)):
            self.ledger.update(manifest(quota))
            self.assertTrue(self.claim(1e6, 0.0).is_granted)

    def test_a_quota_that_is_raised_applies_at_once(self):
        """Guards against an account that keeps the earlier rate."""
        self.assertTrue(self.claim(2_000, 60.0).is_granted)
        self.ledger.update(manifest(TokenQuota(10_000.0, 2_000.0, 100.0)))
        self.assertTrue(self.claim(1_000, 60.2, wait_ms=100).is_granted)

    def test_the_gauge_shows_what_a_customer_has_left(self):
        """Guards against gauges of customers that outlast the lead of a member."""
        self.claim(1_500, 60.0)
        self.ledger.record_use()
        key = ("control_customer_tokens_left", (("customer", "acme"),))
        self.assertEqual(GAUGES.value_by_key[key], 500)
        self.ledger.clear(60.0)
        self.ledger.record_use()
        self.assertNotIn(key, GAUGES.value_by_key)

    def test_a_new_leader_begins_with_empty_accounts(self):
        """Guards against a second burst within one window, after an election."""
        self.ledger.clear(60.0)
        self.ledger.update(manifest(QUOTA))
        self.assertFalse(self.claim(500, 60.0).is_granted)


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

    def claim(self):
        self.receive(QuotaRequest("acme", 1, (TokenClaim(2_000, 0, 1_000, 1),), 1))

    def granted(self):
        replies = [NODE_CODEC.decode(NODE_CODEC.encode(self._frame(m))).body for m in self.sent]
        self.sent.clear()
        return [reply.decisions[0].is_granted for reply in replies if isinstance(reply, QuotaReply)]

    def _frame(self, message):
        return Frame(PROTOCOL_VERSION, "member", 1, "", message)

    def test_an_entry_gets_tokens_once_and_again_when_it_returned_them(self):
        """Guards against messages that do not reach the ledger, or are answered for no tokens."""
        self.claim()
        self.claim()
        self.assertEqual(self.granted(), [True, False])
        self.receive(QuotaReturn("acme", 1_000, False))
        self.receive(QuotaRequest("acme", 1, (TokenClaim(1_000, 0, 1_000, 1),), 1))
        self.assertEqual(self.granted(), [True])

    def test_a_member_without_a_lease_does_not_answer(self):
        """Guards against two members that grant the same tokens."""
        self.replicator.has_lease = False
        self.claim()
        self.assertEqual(self.sent, [])

    def test_an_entry_that_claims_tokens_is_not_silent(self):
        """Guards against a share that is reserved for an entry in touch."""
        self.claim()
        self.assertEqual(self.limits.roster.counts(60.0 + SILENT_AFTER_S).silent, 0)


if __name__ == "__main__":
    unittest.main()
