"""Test that periodic calls continue after a failure."""

import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from hemlockdock_core.periodic_call import PeriodicCall


class PeriodicCallTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.calls = []

    def test_calls_continue_after_a_failure(self):
        def fail():
            self.calls.append(self.clock.seconds())
            raise RuntimeError("once")

        periodic_call = PeriodicCall(self.clock, fail)
        with self.assertLogs("hemlockdock_core.periodic_call", "ERROR"):
            periodic_call.start(1.0)
            self.clock.pump([1.0, 1.0])
        periodic_call.stop()
        periodic_call.stop()
        self.clock.advance(5.0)
        self.assertEqual(self.calls, [0.0, 1.0, 2.0])

    def test_a_call_in_progress_delays_the_next_one(self):
        def work():
            self.calls.append(Deferred())
            return self.calls[-1]

        periodic_call = PeriodicCall(self.clock, work)
        periodic_call.start(1.0)
        self.clock.pump([1.0, 1.0])
        self.assertEqual(len(self.calls), 1)
        self.calls[0].callback(None)
        self.clock.advance(1.0)
        self.assertEqual(len(self.calls), 2)


if __name__ == "__main__":
    unittest.main()
