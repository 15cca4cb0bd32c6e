"""Test that a process sees each change of its settings file."""

import tempfile
import unittest
from pathlib import Path

from twisted.internet.task import Clock

from hemlockdock_daemon.settings_file import SettingsFile
from hemlockdock_daemon.settings_watcher import POLL_INTERVAL_S, SettingsWatcher

SETTINGS = """
[process]
node_id = entry-1
roles = entry
host = host-1
failure_domain = domain-a
log_level = {level}
[control]
members = control-1@tcp://127.0.0.1:1@tcp://127.0.0.1:2
"""
LOGGER = "hemlockdock_daemon.settings_watcher"


class SettingsWatcherTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.ini"
        self.write("INFO")
        self.clock = Clock()
        self.levels = []

    def write(self, level):
        """Replace the file, as the platform does."""
        partial = self.path.with_suffix(".new")
        partial.write_text(SETTINGS.format(level=level))
        partial.replace(self.path)

    def load(self):
        """Load the file as a process does before its imports; return the watcher's arguments."""
        settings_file = SettingsFile(str(self.path))
        return settings_file, settings_file.load()

    def watch(self, settings_file, settings):
        watcher = SettingsWatcher(self.clock, settings_file, settings, self.on_change)
        watcher.start()
        self.addCleanup(watcher.stop)
        return watcher

    def on_change(self, settings):
        self.levels.append(settings.process.log_level)

    def test_a_change_between_the_first_load_and_the_watcher_is_never_noticed(self):
        # Guards against a watcher that compares with the file as it is when the watcher is built.
        settings_file, settings = self.load()
        self.write("DEBUG")
        self.watch(settings_file, settings)
        self.assertEqual(self.levels, ["DEBUG"])

    def test_a_file_that_becomes_invalid_before_the_watcher_is_rejected_and_logged(self):
        settings_file, settings = self.load()
        self.write("LOUD")
        with self.assertLogs(LOGGER, "ERROR") as logs:
            self.watch(settings_file, settings)
        self.assertIn("invalid settings rejected", logs.output[0])
        self.write("DEBUG")
        self.clock.advance(POLL_INTERVAL_S)
        self.assertEqual(self.levels, ["DEBUG"])

    def test_a_later_change_is_noticed_once(self):
        self.watch(*self.load())
        self.write("DEBUG")
        self.clock.pump([POLL_INTERVAL_S] * 3)
        self.assertEqual(self.levels, ["DEBUG"])

    def test_a_missing_file_leaves_the_settings_in_force(self):
        self.watch(*self.load())
        self.path.unlink()
        with self.assertLogs(LOGGER, "ERROR"):
            self.clock.advance(POLL_INTERVAL_S)
        self.write("DEBUG")
        self.clock.advance(POLL_INTERVAL_S)
        self.assertEqual(self.levels, ["DEBUG"])


if __name__ == "__main__":
    unittest.main()
