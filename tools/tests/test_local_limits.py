"""Test on real processes that entries keep to limits by permits of the leader."""

import json
import sys
import tempfile
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from soak.fleet import LocalFleet  # noqa: E402
from soak.http_calls import request_headers  # noqa: E402
from soak.plan import ADMIN_PORT, HTTP_PORT, SERVICE_PORT, FleetPlan  # noqa: E402

PER_S = 2.0
REQUESTS = 40
# Permits that the leader keeps, and one that was booked before.
KEPT = 3


class LocalLimitsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plan = FleetPlan("127.0.73", entries=2)
        self.fleet = LocalFleet(plan, Path(folder.name))
        self.addCleanup(self.fleet.kill_all)
        self.entries = plan.entry_ips
        self.services = plan.service_ips
        self.controls = plan.control_ips
        self._requests = 0
        self.fleet.start()

    def send(self):
        """Send a request through the entries in turn."""
        self._requests += 1
        entry = self.entries[self._requests % len(self.entries)]
        headers = request_headers(f"limit-{self._requests}")
        return self.fleet.call(entry, HTTP_PORT, "POST", "/write/x", b"body", headers).status

    def set_limit(self, limit):
        for ip in self.services:
            self.fleet.call(ip, SERVICE_PORT, "POST", "/limit", limit)

    def runs(self):
        """Return how many requests all endpoints have run."""
        count = 0
        for ip in self.services:
            ledger = self.fleet.call(ip, SERVICE_PORT, "GET", "/ledger").body
            count += len(json.loads(ledger)["runs"])
        return count

    def limits(self):
        """Return the limits that the control members list, by endpoint."""
        listed_by_id = {}
        for ip in self.controls:
            response = self.fleet.call(ip, ADMIN_PORT, "GET", "/v1/limits")
            for item in json.loads(response.body or b'{"limits": []}')["limits"]:
                listed_by_id[item["endpoint"]] = item["limit_per_s"]
        return listed_by_id

    def all_are_listed(self):
        self.send()
        return list(self.limits().values()) == [PER_S] * len(self.services)

    def is_served_again(self):
        return all(self.send() == 200 for _ in range(10)) and not self.limits()

    def test_endpoints_get_as_many_requests_as_they_name_until_they_name_no_limit(self):
        fleet = self.fleet
        fleet.wait_until("routes", lambda: fleet.submit_anywhere(4))
        for _ in self.entries:
            fleet.wait_until("endpoints known", lambda: self.send() == 200)
        self.set_limit(b"%g" % PER_S)
        fleet.wait_until("limits known", self.all_are_listed)
        before = self.runs()
        begin_s = time.monotonic()
        statuses = [self.send() for _ in range(REQUESTS)]
        most = len(self.services) * (PER_S * (time.monotonic() - begin_s) + KEPT)
        served = self.runs() - before
        self.assertLessEqual(served, most)
        self.assertEqual(statuses.count(200), served)
        self.assertEqual(statuses.count(503), REQUESTS - served)
        self.set_limit(b"")
        fleet.wait_until("served again", self.is_served_again)


if __name__ == "__main__":
    unittest.main()
