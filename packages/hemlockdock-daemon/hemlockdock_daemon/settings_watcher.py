"""Reload of the settings while the process runs."""

import logging
import os

from hemlockdock_core.errors import InvalidInputError
from hemlockdock_core.periodic_call import PeriodicCall
from hemlockdock_core.settings import load_settings

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0


class SettingsWatcher:
    """Reloads the settings file on request and whenever it changes.

    A file with errors is rejected and the current settings remain in force.

    Parameters
    ----------
    reactor : twisted reactor
    path : str
    settings : Settings
        The current settings.
    on_change : callable
        Called with the new Settings.
    """

    def __init__(self, reactor, path, settings, on_change):
        self._path = path
        self._settings = settings
        self._on_change = on_change
        self._file_version = self._read_file_version()
        self._poll_timer = PeriodicCall(reactor, self._check)

    def start(self):
        """Start checking the file for changes."""
        self._poll_timer.start(POLL_INTERVAL_S, now=False)

    def stop(self):
        """Stop checking the file for changes."""
        self._poll_timer.stop()

    def reload(self):
        """Reload the file."""
        self._file_version = self._read_file_version()
        try:
            settings = load_settings(self._path)
        except InvalidInputError as error:
            logger.error(
                "invalid settings rejected, the current ones remain in force",
                extra={"problem": str(error)},
            )
            return
        changed = settings != self._settings
        logger.info("settings reloaded", extra={"changed": changed})
        if not changed:
            return
        self._settings = settings
        self._on_change(settings)

    def _check(self):
        if self._read_file_version() != self._file_version:
            self.reload()

    def _read_file_version(self):
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
