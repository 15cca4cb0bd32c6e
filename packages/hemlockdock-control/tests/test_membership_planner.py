"""Test the rules for automatic membership changes."""

import unittest

from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.consensus.member_changes import AddNonVoter, Promote, Remove
from hemlockdock_control.consensus.membership_planner import (
    HELLO_EXPIRY_MS,
    NON_VOTER_REMOVAL_TIMEOUT_MS,
    VOTER_REMOVAL_TIMEOUT_MS,
    MemberSetView,
    next_change,
)
from hemlockdock_control.consensus.messages import Hello
from hemlockdock_control.consensus.seed_discovery import ReceivedHello
from hemlockdock_control.consensus.seeding import member_ip
from hemlockdock_control.storage.identity import MembershipOrigin

NOW_MS = 100_000.0
ELECTION_MS = 400.0


def member(member_id, voter=True):
    return Member(member_id, f"folder {member_id}", f"tcp://{member_ip(member_id)}:1", voter)


def received(member_id, ago_ms=0.0, leaving=False):
    hello = Hello(
        "c",
        f"folder {member_id}",
        f"tcp://{member_ip(member_id)}:1",
        MembershipOrigin.JOINER,
        Configuration(),
        True,
        leaving=leaving,
    )
    return ReceivedHello(hello, NOW_MS - ago_ms)


def view(members, hellos=None, silent=None, caught_up=(), tolerated_losses=1):
    return MemberSetView(
        "a",
        Configuration(tuple(members)),
        hellos or {},
        silent or {},
        set(caught_up),
        tolerated_losses,
        ELECTION_MS,
        NOW_MS,
    )


class NextChangeTest(unittest.TestCase):
    def setUp(self):
        self.voters = [member("a"), member("b"), member("c")]

    def settle(self, members, *hellos, **options):
        """Carry changes out until none is needed, and return the ids of the voters."""
        configuration = Configuration(tuple(members))
        for _ in range(20):
            change = next_change(view(configuration.members, *hellos, **options))
            if change is None:
                return configuration.voter_ids
            if isinstance(change, Remove):
                configuration = configuration.without(change.member_id)
                continue
            old = configuration.find(change.member_id)
            promoted = Member(old.member_id, old.folder_id, old.address, True)
            configuration = configuration.with_member(promoted)
        raise AssertionError("changes without end")

    def test_no_change_while_all_members_reply(self):
        self.assertIsNone(next_change(view(self.voters, silent={"b": 10.0, "c": 20.0})))

    def test_a_process_that_sends_hellos_is_added_and_waits_for_a_place(self):
        added = next_change(view(self.voters, {"d": received("d")}))
        self.assertEqual(added, AddNonVoter("d", "folder d", "tcp://d:1"))
        members = [*self.voters, member("d", voter=False)]
        hellos = {"d": received("d")}
        self.assertIsNone(next_change(view(members, hellos)))
        self.assertIsNone(next_change(view(members, hellos, caught_up={"d"})))

    def test_a_non_voter_that_has_caught_up_is_promoted_into_a_free_place(self):
        members = [*self.voters[:2], member("d", voter=False)]
        self.assertIsNone(next_change(view(members)))
        self.assertEqual(next_change(view(members, caught_up={"d"})), Promote("d"))
        silent = {"d": ELECTION_MS}
        self.assertIsNone(next_change(view(members, silent=silent, caught_up={"d"})))

    def test_two_more_hosts_are_promoted_to_tolerate_two_losses(self):
        members = [*self.voters, member("d", voter=False)]
        self.assertIsNone(next_change(view(members, caught_up={"d"}, tolerated_losses=2)))
        members.append(member("e", voter=False))
        grown = self.settle(members, caught_up={"d", "e"}, tolerated_losses=2)
        self.assertEqual(grown, ["a", "b", "c", "d", "e"])
        grown = self.settle(members, caught_up={"d", "e"}, tolerated_losses=0)
        self.assertEqual(grown, ["a", "b", "c", "d", "e"])
        self.assertEqual(self.settle(members, caught_up={"d", "e"}), ["a", "b", "c"])

    def test_five_voters_become_three_once_one_loss_is_to_be_tolerated(self):
        members = [*self.voters, member("d"), member("e")]
        self.assertEqual(len(self.settle(members)), 3)
        silent = {"b": ELECTION_MS}
        self.assertIsNone(next_change(view(members, silent=silent)))
        silent = {"b": VOTER_REMOVAL_TIMEOUT_MS}
        self.assertEqual(next_change(view(members, silent=silent)), Remove("b"))

    def test_an_expired_hello_adds_no_member(self):
        hellos = {"d": received("d", HELLO_EXPIRY_MS + 1)}
        self.assertIsNone(next_change(view(self.voters, hellos)))

    def test_a_member_whose_address_has_a_new_folder_is_removed_first(self):
        hellos = {"c+1": received("c+1")}
        self.assertEqual(next_change(view(self.voters, hellos)), Remove("c"))
        self.assertEqual(
            next_change(view(self.voters[:2], hellos)),
            AddNonVoter("c+1", "folder c+1", "tcp://c:1"),
        )

    def test_a_second_lost_folder_votes_until_the_first_is_replaced(self):
        members = [*self.voters, member("d"), member("e")]
        hellos = {"d+1": received("d+1"), "e+1": received("e+1")}
        self.assertEqual(next_change(view(members, hellos, tolerated_losses=2)), Remove("d"))
        members = [*self.voters, member("e"), member("d+1", False), member("e+1", False)]
        self.assertIsNone(next_change(view(members, hellos, tolerated_losses=2)))
        caught_up = {"d+1", "e+1"}
        voters = self.settle(members, hellos, caught_up=caught_up, tolerated_losses=2)
        self.assertEqual(voters, ["a", "b", "c", "d+1", "e+1"])

    def test_only_the_newest_process_at_an_address_is_added(self):
        hellos = {"d+1": received("d+1", 900.0), "d+2": received("d+2", 100.0)}
        self.assertEqual(next_change(view(self.voters, hellos)).member_id, "d+2")

    def test_a_silent_voter_stays_while_it_has_no_replacement(self):
        silent = {"b": 10.0, "c": VOTER_REMOVAL_TIMEOUT_MS * 10}
        self.assertIsNone(next_change(view(self.voters, silent=silent)))

    def test_a_silent_voter_is_removed_once_its_replacement_votes(self):
        members = [*self.voters, member("d")]
        silent = {"b": 10.0, "c": VOTER_REMOVAL_TIMEOUT_MS, "d": 10.0}
        self.assertEqual(next_change(view(members, silent=silent)), Remove("c"))

    def test_a_silent_voter_is_removed_before_its_replacement_votes(self):
        members = [*self.voters, member("d", voter=False)]
        silent = {"c": VOTER_REMOVAL_TIMEOUT_MS}
        self.assertIsNone(next_change(view(members, silent=silent)))
        self.assertEqual(next_change(view(members, silent=silent, caught_up={"d"})), Remove("c"))
        silent["c"] -= 1.0
        self.assertIsNone(next_change(view(members, silent=silent, caught_up={"d"})))

    def test_a_leaving_voter_is_removed_after_its_replacement_votes(self):
        members = [*self.voters, member("d", voter=False)]
        hellos = {"c": received("c", leaving=True)}
        self.assertIsNone(next_change(view(members, hellos)))
        self.assertEqual(next_change(view(members, hellos, caught_up={"d"})), Promote("d"))
        members = [*self.voters, member("d")]
        self.assertEqual(next_change(view(members, hellos)), Remove("c"))
        members = [*self.voters[:2], member("d")]
        self.assertIsNone(next_change(view(members, hellos)))

    def test_seven_voters_with_two_lost_ones_become_five(self):
        # Guards against lost voters that an earlier version kept.
        members = [member(member_id) for member_id in "abcdefg"]
        silent = dict.fromkeys("bc", VOTER_REMOVAL_TIMEOUT_MS)
        for tolerated_losses in (0, 2):
            voters = self.settle(members, silent=silent, tolerated_losses=tolerated_losses)
            self.assertEqual(voters, ["a", "d", "e", "f", "g"])

    def test_a_silent_non_voter_is_removed(self):
        members = [*self.voters, member("d", voter=False)]
        silent = {"d": NON_VOTER_REMOVAL_TIMEOUT_MS}
        self.assertEqual(next_change(view(members, silent=silent)), Remove("d"))


if __name__ == "__main__":
    unittest.main()
