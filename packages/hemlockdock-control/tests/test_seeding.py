"""Tests of the identities of fleet members and of the automatic membership changes."""

import tempfile
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
from hemlockdock_control.consensus.seeding import founders_of, member_ip, open_seeded_storage
from hemlockdock_control.storage.disk import Disk
from hemlockdock_control.storage.errors import ForeignFolderError
from hemlockdock_control.storage.identity import MembershipOrigin
from hemlockdock_core.settings import parse_settings

SEEDS = "127.0.0.1:80,127.0.0.2:80,127.0.0.3:80"
NOW_MS = 100_000.0


def settings(folder, ip="127.0.0.1", first_start=True, seeds=SEEDS):
    return parse_settings(
        f"[process]\nnode_id = n\nroles = control\nhost = h\nfailure_domain = d\n"
        f"data_folder = {folder}\n[listen]\nlinks = tcp://{ip}:7380\n"
        f"[fleet]\nseeds = {seeds}\nfirst_start = {first_start}\ndirectory = 127.0.0.9:1\n",
        "test",
    )


class SeedingTest(unittest.TestCase):
    def open(self, folder, **options):
        disk = Disk(folder)
        self.addCleanup(disk.close)
        return open_seeded_storage(disk, settings(folder, **options))

    def folder(self):
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        return made.name

    def test_founders_know_each_other_without_exchanging_messages(self):
        first = self.open(self.folder())
        second = self.open(self.folder(), ip="127.0.0.2")
        self.assertIs(first.identity.standing, MembershipOrigin.FOUNDER)
        self.assertEqual(first.identity.founders, second.identity.founders)
        member = first.identity.founders.find("127.0.0.2")
        self.assertEqual(member.folder_id, second.identity.folder_id)

    def test_a_host_that_is_no_seed_joins(self):
        storage = self.open(self.folder(), ip="127.0.0.4")
        self.assertIs(storage.identity.standing, MembershipOrigin.JOINER)
        self.assertEqual(member_ip(storage.identity.member_id), "127.0.0.4")

    def test_an_emptied_folder_at_a_founders_address_joins_under_another_id(self):
        storage = self.open(self.folder(), first_start=False)
        self.assertIs(storage.identity.standing, MembershipOrigin.JOINER)
        self.assertNotEqual(storage.identity.member_id, "127.0.0.1")
        founders = founders_of(settings(self.folder()))
        self.assertFalse(founders.has_voter(storage.identity.member_id, storage.identity.folder_id))

    def test_a_used_folder_keeps_its_identity_when_the_seeds_change(self):
        folder = self.folder()
        disk = Disk(folder)
        before = open_seeded_storage(disk, settings(folder)).identity
        disk.close()
        after = self.open(folder, first_start=False, seeds="127.0.0.7:80").identity
        self.assertEqual(after, before)

    def test_a_folder_of_another_host_is_refused(self):
        folder = self.folder()
        disk = Disk(folder)
        open_seeded_storage(disk, settings(folder))
        disk.close()
        with self.assertRaises(ForeignFolderError):
            self.open(folder, ip="127.0.0.2")


def member(member_id, voter=True):
    return Member(member_id, f"folder {member_id}", f"tcp://{member_ip(member_id)}:1", voter)


def received(member_id, ago_ms=0.0):
    hello = Hello(
        "c",
        f"folder {member_id}",
        f"tcp://{member_ip(member_id)}:1",
        MembershipOrigin.JOINER,
        Configuration(),
        True,
    )
    return ReceivedHello(hello, NOW_MS - ago_ms)


def view(members, hellos=None, silent=None, caught_up=()):
    return MemberSetView(
        "a",
        Configuration(tuple(members)),
        hellos or {},
        silent or {},
        set(caught_up),
        NOW_MS,
    )


class NextChangeTest(unittest.TestCase):
    def setUp(self):
        self.voters = [member("a"), member("b"), member("c")]

    def test_no_change_while_all_members_reply(self):
        self.assertIsNone(next_change(view(self.voters, silent={"b": 10.0, "c": 20.0})))

    def test_a_process_that_sends_hellos_is_added_then_promoted_once_it_has_caught_up(self):
        added = next_change(view(self.voters, {"d": received("d")}))
        self.assertEqual(added, AddNonVoter("d", "folder d", "tcp://d:1"))
        members = [*self.voters, member("d", voter=False)]
        self.assertIsNone(next_change(view(members, {"d": received("d")})))
        self.assertEqual(
            next_change(view(members, {"d": received("d")}, caught_up={"d"})), Promote("d")
        )

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

    def test_a_silent_non_voter_is_removed(self):
        members = [*self.voters, member("d", voter=False)]
        silent = {"d": NON_VOTER_REMOVAL_TIMEOUT_MS}
        self.assertEqual(next_change(view(members, silent=silent)), Remove("d"))


if __name__ == "__main__":
    unittest.main()
