"""Test SIGHUP before, while and after somebody listens for it."""

import os
import signal
import unittest

from hemlockdock_daemon.reload_signal import ReloadSignal


class ReloadSignalTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))
        self.reload_signal = ReloadSignal()
        self.reload_signal.catch()
        self.calls = []

    def listen(self):
        self.reload_signal.listen(lambda: self.calls.append("reload"))

    def send(self):
        os.kill(os.getpid(), signal.SIGHUP)

    def test_a_signal_before_the_listener_is_lost(self):
        # Guards against a change that the file's version does not show.
        self.send()
        self.send()
        self.listen()
        self.assertEqual(self.calls, ["reload"])

    def test_each_signal_reaches_the_listener(self):
        self.listen()
        self.assertEqual(self.calls, [])
        self.send()
        self.send()
        self.assertEqual(self.calls, ["reload", "reload"])

    def test_a_signal_after_the_end_is_ignored(self):
        self.listen()
        self.reload_signal.ignore()
        self.send()
        self.assertEqual(self.calls, [])


if __name__ == "__main__":
    unittest.main()
