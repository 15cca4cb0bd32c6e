"""The settings file of a process."""

import os

from hemlockdock_core.settings import load_settings


class SettingsFile:
    """The settings file of a process, which may change at any moment.

    Parameters
    ----------
    path : str
    """

    def __init__(self, path):
        self._path = path
        self._loaded_version = None

    def load(self):
        """Read and validate the file.

        Returns
        -------
        Settings

        Raises
        ------
        InvalidInputError
        """
        # Taken before the text is read, so that a change between the two is seen later.
        self._loaded_version = self._read_version()
        return load_settings(self._path)

    def has_changed(self):
        """Return whether the file has changed since it was loaded.

        Returns
        -------
        bool
        """
        return self._read_version() != self._loaded_version

    def _read_version(self):
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
