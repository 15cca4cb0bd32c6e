"""Test the start of the program under signals."""

import signal
import subprocess
import sys
import unittest

from support_start import TIMEOUT_S, run_with_sighup_at_import

from hemlockdock_daemon.daemon import EXIT_INVALID_SETTINGS

MISSING_FILE = "/nowhere/node.ini"
COMMAND = [sys.executable, "-m", "hemlockdock_daemon", f"--settings={MISSING_FILE}"]
IMPORTED_AT_START = ("fire", "pydantic", "twisted", "configparser")


class StartTest(unittest.TestCase):
    def test_sighup_ends_a_process_that_is_importing_its_modules(self):
        # Guards against SIGHUP's default action until the services are built.
        for module in IMPORTED_AT_START:
            with self.subTest(module=module):
                ended = run_with_sighup_at_import(COMMAND, module)
                self.assertEqual(ended.returncode, EXIT_INVALID_SETTINGS, ended.stderr)
                self.assertIn(MISSING_FILE, ended.stderr)

    def test_a_process_that_is_started_with_sighup_ignored_outlives_it_from_the_first_moment(self):
        self.addCleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        process = subprocess.Popen(COMMAND, stderr=subprocess.DEVNULL)
        process.send_signal(signal.SIGHUP)
        self.assertEqual(process.wait(TIMEOUT_S), EXIT_INVALID_SETTINGS)


if __name__ == "__main__":
    unittest.main()
