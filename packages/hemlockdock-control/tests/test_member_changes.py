"""Test that operators replace a lost member over the administration API."""

import unittest

from support import cluster_settings
from test_control_service import ServiceCase as _ServiceCase
from test_control_service import until
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks

from hemlockdock_control.service import ControlService

PRESENT = 3


class MemberChangesTest(_ServiceCase):
    timeout = 240

    @inlineCallbacks
    def start_cluster(self):
        """Start three members, and a fourth whose settings list all four."""
        chosen = cluster_settings([self.folder() for _ in range(PRESENT + 1)])
        listed = chosen[0].control.model_copy(
            update={"members": chosen[0].control.members[:PRESENT]}
        )
        present = [item.model_copy(update={"control": listed}) for item in chosen[:PRESENT]]
        self.services = [ControlService(reactor, item) for item in present]
        for service in self.services:
            service.start()
            self.addCleanup(service.stop)
        yield until(lambda: self.leader() is not None)
        self.newcomer = ControlService(reactor, chosen[PRESENT])
        self.newcomer.start()
        self.addCleanup(self.newcomer.stop)

    @inlineCallbacks
    def change(self, path):
        response = yield self.request(self.leader(), "POST", f"/v1/members/{path}")
        body = yield response.json()
        return response.code, body

    @inlineCallbacks
    def repeat(self, path):
        """Ask until it is done; a change is refused while it can't be made yet."""
        while True:
            code, body = yield self.change(path)
            if code == 200:
                return body
            self.assertIn(code, (409, 502, 503), body)
            yield until(lambda: self.leader() is not None)

    @inlineCallbacks
    def test_a_lost_member_is_replaced_and_what_was_accepted_stays(self):
        yield self.start_cluster()
        lost = self.followers()[0]
        yield self.submit(self.leader(), 1)
        yield lost.stop()
        self.services.remove(lost)
        lost_id = lost._settings.process.node_id
        code, _ = yield self.change("nobody/add")
        self.assertEqual(code, 409)
        yield self.repeat("control-4/add")
        done = yield self.repeat(f"{lost_id}/replace/control-4")
        self.assertNotIn(lost_id, done["members"])
        self.assertIn("control-4", done["members"])
        yield until(lambda: self.newcomer.machine.state.manifests.current is not None)
        self.assertEqual(self.newcomer.machine.state.manifests.current.number, 1)
        records = self.leader().machine.state.audit.select(kind="members")
        self.assertEqual([item.who for item in records], ["local", "local"])


del _ServiceCase

if __name__ == "__main__":
    unittest.main()
