"""Test the start and the stop of a process."""

import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from hemlockdock_core.settings import parse_settings
from hemlockdock_daemon.process import Process

SETTINGS = """
[process]
node_id = entry-1
roles = entry
host = host-1
failure_domain = domain-a
shutdown_ms = 1000
[control]
members = control-1@tcp://127.0.0.1:1@tcp://127.0.0.1:2
"""


class RecordingService:
    """A service that records its starts and stops; ``stopped`` ends a stop."""

    def __init__(self, name, calls):
        self.name = name
        self.calls = calls
        self.stopped = Deferred()

    def start(self):
        """Record the start."""
        self.calls.append(f"start {self.name}")

    def stop(self):
        """Record the stop, which ends when ``stopped`` fires."""
        self.calls.append(f"stop {self.name}")
        return self.stopped


class ProcessTest(unittest.TestCase):
    def setUp(self):
        self.calls = []
        self.clock = Clock()
        self.services = [RecordingService(name, self.calls) for name in ("control", "entry")]
        settings = parse_settings(SETTINGS, "test")
        self.process = Process(self.clock, settings, self.services)

    def test_services_stop_in_reverse_order_each_after_the_one_before(self):
        self.process.start()
        stopping = self.process.stop()
        self.process.stop()
        self.assertEqual(self.calls, ["start control", "start entry", "stop entry"])
        self.services[1].stopped.callback(None)
        self.assertEqual(self.calls[-1], "stop control")
        self.assertFalse(stopping.called)
        self.services[0].stopped.callback(None)
        self.assertTrue(stopping.called)

    def test_a_service_that_does_not_stop_is_skipped_after_the_timeout(self):
        self.process.start()
        with self.assertLogs("hemlockdock_daemon.process", "ERROR"):
            self.process.stop()
            self.clock.advance(1.0)
        self.assertEqual(self.calls[-1], "stop control")

    def test_a_process_that_never_started_stops_nothing(self):
        self.process.stop()
        self.assertEqual(self.calls, [])


if __name__ == "__main__":
    unittest.main()
