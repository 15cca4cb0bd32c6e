"""Run a fleet of real processes on loopback: control members, an entry, an agent and stand-ins."""

import signal
import sys
import tempfile
import unittest
from pathlib import Path

TOOLS = Path(__file__).parent.parent
sys.path.insert(0, str(TOOLS))

from soak.fleet import (  # noqa: E402
    ADMIN_PORT,
    HTTP_PORT,
    READY_PORT,
    WAIT_S,
    FleetPlan,
    LocalFleet,
    manifest,
    request_headers,
)
from soak.oracle import STREAM_EVENTS  # noqa: E402

from hemlockdock_core.wire.own import WIRE  # noqa: E402


class LocalFleetTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = LocalFleet(FleetPlan(), Path(folder.name))
        self.addCleanup(self.fleet.kill_all)
        self.controls = self.fleet.plan.control_ips
        self.entry = self.fleet.plan.entry_ips[0]
        self.fleet.start()

    def ready(self):
        return self.fleet.call(self.entry, READY_PORT, "GET", "/readyz").status == 200

    def submit(self, number):
        self.fleet.wait_until("routes accepted", lambda: self.fleet.submit_anywhere(number))
        return WIRE.encode_routes(manifest(number))

    def read(self):
        return next(filter(None, map(self.fleet.read_routes, self.controls)), None)

    def send_request(self, path, number, model=""):
        headers = request_headers(str(number), model)
        return self.fleet.call(self.entry, HTTP_PORT, "POST", path, b"body", headers)

    def streams_all_events(self, number, model):
        response = self.send_request("/live/x", number, model)
        return (response.status, response.body) == (200, STREAM_EVENTS)

    def test_requests_routes_and_member_replacement(self):
        self.assertFalse(self.ready())
        text = self.submit(4)
        self.assertEqual(self.fleet.wait_until("routes read", self.read), text)
        self.fleet.wait_until("ready", self.ready)
        self.fleet.wait_until(
            "endpoints known", lambda: self.send_request("/read/x", 1).status == 200
        )

        response = self.send_request("/write/x", 2)
        self.assertEqual((response.status, response.body), (200, b"ran 2"))
        self.assertTrue(response.signature)

        self.fleet.wait_until("a stream", lambda: self.streams_all_events(3, "m0"))
        # The engine has room for one model, so loading this one evicts the other.
        self.fleet.wait_until("another model", lambda: self.streams_all_events(4, "m1"))

        refused = self.fleet.call(self.controls[0], ADMIN_PORT, "POST", "/v1/routes", b"{")
        self.assertEqual(refused.status, 400)
        self.replace_a_member()
        self.drain()

    def replace_a_member(self):
        """Lose a member and its disk: the others keep serving, and it rejoins as a new member."""
        lost = self.controls[0]
        self.fleet.kill(lost)
        newer = self.submit(9)
        self.assertEqual(self.fleet.wait_until("routes read", self.read), newer)
        self.fleet.wipe(lost)
        self.fleet.restart(lost, is_first=False)
        self.fleet.wait_until(
            "the member is back",
            lambda: self.fleet.read_routes(lost) == newer,
        )

    def drain(self):
        self.fleet.signal(self.entry, signal.SIGTERM)
        self.fleet.wait_until("not ready", lambda: not self.ready())
        self.assertEqual(self.fleet.process_by_name[self.entry].wait(WAIT_S), 0)


if __name__ == "__main__":
    unittest.main()
