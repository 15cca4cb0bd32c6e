"""Test the membership changes that operators request, with virtual time."""

import unittest
from unittest import mock

from result import Ok
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from hemlockdock_control.consensus import member_requests
from hemlockdock_control.consensus.errors import ChangeRefusedError
from hemlockdock_control.consensus.member_changes import ChangeRefusal, Promote, Remove
from hemlockdock_control.consensus.member_requests import (
    PROMOTION_ATTEMPTS,
    PROMOTION_INTERVAL_S,
    MemberRequests,
)

STEPS = (Remove("c"), Promote("d"))


class MemberRequestsTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.changes = []
        self.refusals = []
        patch = mock.patch.object(member_requests, "replacement_steps", lambda *_: Ok(STEPS))
        self.enterContext(patch)
        self.requests = MemberRequests(self.clock, dict, lambda: "state", self.change, lambda: 0.0)

    def change(self, change):
        self.changes.append(change)
        if change == STEPS[1] and self.refusals:
            return fail(ChangeRefusedError(self.refusals.pop(0)))
        return succeed(None)

    def replace(self):
        outcomes = []
        self.requests.replace("c", "d").addBoth(outcomes.append)
        for _ in range(PROMOTION_ATTEMPTS):
            self.clock.advance(PROMOTION_INTERVAL_S)
        return outcomes[0]

    def test_a_successor_that_does_not_hold_the_removal_yet_is_never_promoted(self):
        # Guards against a replacement that ends between its two steps.
        self.refusals = [ChangeRefusal.CATCHING_UP] * 3
        self.assertIsNone(self.replace())
        self.assertEqual(self.changes, [STEPS[0]] + [STEPS[1]] * 4)

    def test_any_other_refusal_is_told_at_once(self):
        self.refusals = [ChangeRefusal.QUORUM_LOST]
        self.assertIs(self.replace().value.reason, ChangeRefusal.QUORUM_LOST)
        self.assertEqual(len(self.changes), 2)

    def test_a_successor_that_never_catches_up_is_told(self):
        self.refusals = [ChangeRefusal.CATCHING_UP] * (PROMOTION_ATTEMPTS + 1)
        self.assertIs(self.replace().value.reason, ChangeRefusal.CATCHING_UP)
        self.assertEqual(len(self.changes), 1 + PROMOTION_ATTEMPTS)


if __name__ == "__main__":
    unittest.main()
