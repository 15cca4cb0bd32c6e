"""Tests of the identities of fleet members."""

import tempfile
import unittest

from hemlockdock_control.consensus.seeding import founders_of, member_ip, open_seeded_storage
from hemlockdock_control.storage.disk import Disk
from hemlockdock_control.storage.errors import ForeignFolderError
from hemlockdock_control.storage.identity import MembershipOrigin
from hemlockdock_core.settings import parse_settings

SEEDS = "127.0.0.1:80,127.0.0.2:80,127.0.0.3:80"


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


if __name__ == "__main__":
    unittest.main()
