"""Run a fleet of real processes whose open connections to each other go silent."""

import sys
import tempfile
import time
import unittest
from pathlib import Path

TOOLS = Path(__file__).parent.parent
sys.path.insert(0, str(TOOLS))

from soak.fleet import LocalFleet  # noqa: E402
from soak.http_calls import OK, request_headers  # noqa: E402
from soak.link_proxies import LinkProxies  # noqa: E402
from soak.plan import HTTP_PORT, FleetPlan  # noqa: E402
from soak.proxy import ProxyLoop  # noqa: E402

# Short enough that a node which renews one direction only, or one member after the other, is
# never in touch with control between two silences.
SILENCE_INTERVAL_S = 2.5


class SilentLinksTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plan = FleetPlan("127.0.74", entries=2, proxies_links=True)
        loop = ProxyLoop()
        self.addCleanup(loop.close)
        self.links = LinkProxies(loop, plan)
        self.addCleanup(self.links.close)
        self.links.start()
        self.fleet = LocalFleet(plan, Path(folder.name))
        self.addCleanup(self.fleet.kill_all)
        self.silent_at_s = 0.0
        self.fleet.start()
        self.fleet.wait_until("routes accepted", lambda: self.fleet.submit_anywhere(1))
        self.fleet.wait_until("requests served", lambda: self.all_serve("read"))

    def all_serve(self, route):
        """Return whether each entry serves a route."""
        for ip in self.fleet.plan.entry_ips:
            headers = request_headers(f"{route}-{ip}-{time.monotonic()}")
            response = self.fleet.call(ip, HTTP_PORT, "POST", f"/{route}/x", b"body", headers)
            if response.status != OK:
                return False
        return True

    def silence(self, ips):
        """Silence open connections, if that was not done lately."""
        now_s = time.monotonic()
        if now_s - self.silent_at_s >= SILENCE_INTERVAL_S:
            self.silent_at_s = now_s
            self.links.silence_to(ips)

    def assert_change_arrives(self, number, ips):
        """Assert that a change arrives while connections go silent again and again."""
        route = f"added{number}"
        self.silence(ips)

        def accepted():
            self.silence(ips)
            return self.fleet.submit_anywhere(number, added=route)

        def in_force():
            self.silence(ips)
            return self.all_serve(route)

        self.fleet.wait_until(f"change {number} accepted", accepted)
        self.fleet.wait_until(f"change {number} in force", in_force)

    def test_changes_arrive_over_connections_that_go_silent_one_way_and_both(self):
        plan = self.fleet.plan
        self.assert_change_arrives(2, plan.entry_ips)
        self.assert_change_arrives(3, plan.control_ips)
        self.assert_change_arrives(4, plan.control_ips + plan.entry_ips + plan.agent_ips)


if __name__ == "__main__":
    unittest.main()
