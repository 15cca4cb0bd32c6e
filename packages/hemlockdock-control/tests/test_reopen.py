"""Test that a member of a fleet works again once its full disk accepts writes again."""

import errno
import tempfile

from support_consensus import ListStateMachine
from test_replicator import free_port
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.trial import unittest as trial_unittest

from hemlockdock_control.consensus import NotLeaderError, Replicator, UnknownOutcomeError
from hemlockdock_control.storage.errors import StorageFailedError
from hemlockdock_core.settings import parse_settings


class ResettableStateMachine(ListStateMachine):
    def reset(self):
        self.commands = []


class ReopenTest(trial_unittest.TestCase):
    timeout = 120

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = parse_settings(
            "[process]\nnode_id = n\nroles = control\nhost = h\nfailure_domain = d\n"
            f"data_folder = {folder.name}\n[listen]\nlinks = tcp://127.0.0.1:{free_port()}\n"
            "[control]\nheartbeat_ms = 20\nelection_ms = 200\n"
            f"[fleet]\nseeds = 127.0.0.1:1\nfirst_start = true\npeer_port = {free_port()}\n"
            "directory = 127.0.0.9:1\n",
            "test",
        )
        self.state_machine = ResettableStateMachine()
        self.replicator = Replicator(reactor, settings, self.state_machine)
        self.replicator.start()
        self.addCleanup(self.replicator.stop)

    @inlineCallbacks
    def wait_until(self, check):
        while not check():
            yield deferLater(reactor, 0.02, lambda: None)

    @inlineCallbacks
    def test_a_full_disk_stops_the_member_only_while_it_is_full(self):
        yield self.wait_until(lambda: self.replicator.is_leader)
        yield self.replicator.propose(b"first")
        storage = self.replicator._storage

        def refuse():
            raise StorageFailedError(OSError(errno.ENOSPC, "no space left"))

        storage.sync = refuse
        failed = self.replicator.propose(b"second")
        yield self.assertFailure(failed, UnknownOutcomeError, NotLeaderError)
        self.assertIsNotNone(self.replicator.failure)
        yield self.wait_until(lambda: self.replicator.is_leader)
        self.assertIsNone(self.replicator.failure)
        yield self.replicator.propose(b"third")
        self.assertEqual(self.state_machine.commands[0], b"first")
        self.assertEqual(self.state_machine.commands[-1], b"third")
