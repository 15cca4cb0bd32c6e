"""Test that setting back the wall clock delays no timer."""

import unittest

from twisted.internet.epollreactor import EPollReactor

from hemlockdock_daemon.monotonic import use_monotonic_clock

HOUR_S = 3_600.0


class WallClockReactor(EPollReactor):
    """A reactor whose wall clock the test sets."""

    wall_s = 2 * HOUR_S

    def seconds(self):
        """Return the wall clock time."""
        return self.wall_s


class MonotonicClockTest(unittest.TestCase):
    def test_timers_fire_on_time_after_the_wall_clock_is_set_back(self):
        reactor = WallClockReactor()
        use_monotonic_clock(reactor)
        calls = []
        reactor.callLater(0.0, calls.append, "called")
        reactor.wall_s -= HOUR_S
        reactor.runUntilCurrent()
        self.assertEqual(calls, ["called"])


if __name__ == "__main__":
    unittest.main()
