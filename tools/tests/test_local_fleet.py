"""Run a fleet's real processes on loopback: control from seeds, an entry, an agent, stand-ins."""

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
from soak.oracle import EVENTS  # noqa: E402

from hemlockdock_core.wire.own import WIRE  # noqa: E402


class LocalFleetTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = LocalFleet(FleetPlan(), Path(folder.name))
        self.addCleanup(self.fleet.end)
        self.controls = self.fleet.plan.control_ips
        self.entry = self.fleet.plan.entry_ips[0]
        self.fleet.start()

    def ready(self):
        return self.fleet.call(self.entry, READY_PORT, "GET", "/readyz").status == 200

    def submit(self, number):
        self.fleet.until("routes accepted", lambda: self.fleet.submit_anywhere(number))
        return WIRE.encode_routes(manifest(number))

    def read(self):
        return next(filter(None, map(self.fleet.routes, self.controls)), None)

    def ask(self, path, number, model=""):
        headers = request_headers(str(number), model)
        return self.fleet.call(self.entry, HTTP_PORT, "POST", path, b"body", headers)

    def streams(self, number, model):
        answer = self.ask("/live/x", number, model)
        return (answer.status, answer.body) == (200, EVENTS)

    def test_the_thin_path(self):
        self.assertFalse(self.ready())
        text = self.submit(4)
        self.assertEqual(self.fleet.until("routes read", self.read), text)
        self.fleet.until("ready", self.ready)
        self.fleet.until("endpoints known", lambda: self.ask("/read/x", 1).status == 200)

        answer = self.ask("/write/x", 2)
        self.assertEqual((answer.status, answer.body), (200, b"ran 2"))
        self.assertTrue(answer.signature)

        self.fleet.until("a stream", lambda: self.streams(3, "m0"))
        # The engine has room for one model: this one takes the other's place.
        self.fleet.until("another model", lambda: self.streams(4, "m1"))

        refused = self.fleet.call(self.controls[0], ADMIN_PORT, "POST", "/v1/routes", b"{")
        self.assertEqual(refused.status, 400)
        self.lose_a_member()
        self.drain()

    def lose_a_member(self):
        """Lose one member with its disk: the others go on, and it comes back as another."""
        lost = self.controls[0]
        self.fleet.kill(lost)
        newer = self.submit(9)
        self.assertEqual(self.fleet.until("routes read", self.read), newer)
        self.fleet.wipe(lost)
        self.fleet.restart(lost, is_first=False)
        self.fleet.until(
            "the member is back",
            lambda: self.fleet.routes(lost) == newer,
        )

    def drain(self):
        self.fleet.signal(self.entry, signal.SIGTERM)
        self.fleet.until("not ready", lambda: not self.ready())
        self.assertEqual(self.fleet.process_by_name[self.entry].wait(WAIT_S), 0)


if __name__ == "__main__":
    unittest.main()
