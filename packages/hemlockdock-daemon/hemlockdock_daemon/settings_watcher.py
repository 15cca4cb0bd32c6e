"""Reload of the settings while the process runs."""

import logging

from hemlockdock_core.errors import InvalidInputError
from hemlockdock_core.periodic_call import PeriodicCall

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0


class SettingsWatcher:
    """Reloads the settings file on request and whenever it changes.

    A file with errors is rejected and the current settings remain in force.

    Parameters
    ----------
    reactor : twisted reactor
    settings_file : SettingsFile
        Which the current settings were loaded from.
    settings : Settings
        The current settings.
    on_change : callable
        Called with the new Settings.
    """

    def __init__(self, reactor, settings_file, settings, on_change):
        self._file = settings_file
        self._settings = settings
        self._on_change = on_change
        self._poll_timer = PeriodicCall(reactor, self._check)

    def start(self):
        """Check the file for changes now and from now on."""
        self._poll_timer.start(POLL_INTERVAL_S)

    def stop(self):
        """Stop checking the file for changes."""
        self._poll_timer.stop()

    def reload(self):
        """Reload the file."""
        try:
            settings = self._file.load()
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
        if self._file.has_changed():
            self.reload()
