"""Test what a control member of a fleet does when it becomes leader."""

import tempfile
import unittest
from unittest import mock

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from hemlockdock_control.consensus import Replicator
from hemlockdock_control.fleet.service import FleetControlService
from hemlockdock_core.settings import parse_settings
from hemlockdock_core.wire import ListedEndpoint

SETTINGS = (
    "[process]\nnode_id = c\nroles = control\nhost = h\nfailure_domain = d\ndata_folder = {}\n"
    "[listen]\nlinks = tcp://127.0.0.9:1\nadmin = 127.0.0.9:2\nready = 127.0.0.9:3\n"
    "[fleet]\nseeds = 127.0.0.9:2\nnode_port = 7\ndirectory = 127.0.0.9:4\n"
)


class LeadershipTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = parse_settings(SETTINGS.format(folder.name), "test")
        self.service = FleetControlService(Clock(), settings)
        listed = ListedEndpoint("e", "p", "10.0.0.1:1", "d", 8, False, ())
        self.reads = 0
        self.service._directory.read = lambda: self.read(listed)

    def read(self, listed):
        self.reads += 1
        return succeed([listed])

    def change_leadership(self, leads):
        with (
            mock.patch.object(Replicator, "is_leader", leads),
            mock.patch.object(Replicator, "term", 1),
            mock.patch.object(FleetControlService, "_record_endpoints"),
        ):
            self.service._leadership_changed(leads)

    def test_a_new_leader_reads_the_directory_immediately(self):
        """After a complete restart, entries have no endpoints to route to until it has done so."""
        self.change_leadership(True)
        self.assertEqual(list(self.service._registry.listed_by_id), ["e"])

    def test_a_former_leader_does_not_read_the_directory(self):
        self.change_leadership(False)
        self.assertEqual(self.reads, 0)
        self.assertIsNone(self.service._registry.listed_by_id)

    def test_a_new_measurement_of_the_store_is_recorded_though_no_row_has_changed(self):
        self.service._registry.set_directory([])
        self.service._placement.store.adopt(1, 0.0)
        commit = mock.Mock(return_value=Deferred())
        with (
            mock.patch.object(Replicator, "has_lease", True),
            mock.patch.object(self.service._proposer, "commit", commit),
        ):
            self.service._record_endpoints()
        self.assertEqual(commit.call_args.args[0].store_loads, 1)


if __name__ == "__main__":
    unittest.main()
