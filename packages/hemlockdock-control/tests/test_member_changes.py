"""Test that operators can replace a lost member with the operators' API."""

import unittest

from support import cluster_settings
from test_control_service import ServiceCase as _ServiceCase
from test_control_service import until
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks

from hemlockdock_control.service import ControlService

INITIAL_MEMBERS = 3


class MemberChangesTest(_ServiceCase):
    timeout = 240

    @inlineCallbacks
    def start_cluster(self):
        """Start three members, and a fourth whose settings list all four."""
        chosen = cluster_settings([self.folder() for _ in range(INITIAL_MEMBERS + 1)])
        control_section = chosen[0].control.model_copy(
            update={"members": chosen[0].control.members[:INITIAL_MEMBERS]}
        )
        initial = [
            item.model_copy(update={"control": control_section})
            for item in chosen[:INITIAL_MEMBERS]
        ]
        self.services = [ControlService(reactor, item) for item in initial]
        for service in self.services:
            service.start()
            self.addCleanup(service.stop)
        yield until(lambda: self.leader() is not None)
        self.new_member = ControlService(reactor, chosen[INITIAL_MEMBERS])
        self.new_member.start()
        self.addCleanup(self.new_member.stop)

    @inlineCallbacks
    def change(self, path):
        response = yield self.request(self.leader(), "POST", f"/v1/members/{path}")
        body = yield response.json()
        return response.code, body

    @inlineCallbacks
    def retry(self, path):
        """Retry a change until it succeeds; it is refused while it is not possible yet."""
        while True:
            code, body = yield self.change(path)
            if code == 200:
                return body
            self.assertIn(code, (409, 502, 503), body)
            yield until(lambda: self.leader() is not None)

    @inlineCallbacks
    def test_replacing_a_lost_member_keeps_the_accepted_manifest(self):
        yield self.start_cluster()
        lost = self.followers()[0]
        yield self.submit(self.leader(), 1)
        yield lost.stop()
        self.services.remove(lost)
        lost_id = lost._settings.process.node_id
        code, _ = yield self.change("nobody/add")
        self.assertEqual(code, 409)
        yield self.retry("control-4/add")
        done = yield self.retry(f"{lost_id}/replace/control-4")
        self.assertNotIn(lost_id, done["members"])
        self.assertIn("control-4", done["members"])
        yield until(lambda: self.new_member.machine.state.manifests.current is not None)
        self.assertEqual(self.new_member.machine.state.manifests.current.number, 1)
        records = self.leader().machine.state.audit.select(kind="members")
        self.assertEqual([item.who for item in records], ["local", "local"])


del _ServiceCase

if __name__ == "__main__":
    unittest.main()
