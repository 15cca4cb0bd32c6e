"""Read and write the files of one folder."""

import fcntl
import os
from pathlib import Path

from hemlockdock_control.storage.errors import FolderLockedError

LOCK_NAME = "lock"
ASIDE_SUFFIX = ".new"


class Disk:
    """Read and write the files of one folder, which this process alone uses.

    Parameters
    ----------
    folder : str or pathlib.Path

    Raises
    ------
    FolderLockedError
    """

    def __init__(self, folder):
        self.folder = Path(folder)
        self._descriptor_by_name = {}
        self._lock = os.open(self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise FolderLockedError(str(self.folder)) from None

    def names(self):
        """Return the names of all files but the lock, sorted."""
        return sorted(path.name for path in self.folder.iterdir() if path.name != LOCK_NAME)

    def read(self, name):
        """Return a file's bytes.

        Parameters
        ----------
        name : str

        Returns
        -------
        bytes
        """
        return (self.folder / name).read_bytes()

    def append(self, name, data):
        """Write at the end of a file, which is made where there is none.

        Parameters
        ----------
        name : str
        data : bytes

        Raises
        ------
        OSError
        """
        descriptor = self._descriptor_by_name.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            descriptor = os.open(self.folder / name, flags, 0o644)
            self._descriptor_by_name[name] = descriptor
        left = memoryview(data)
        while left:
            left = left[os.write(descriptor, left) :]

    def sync(self, name):
        """Make all that was appended to a file durable.

        Parameters
        ----------
        name : str

        Raises
        ------
        OSError
        """
        os.fdatasync(self._descriptor_by_name[name])

    def sync_folder(self):
        """Make new, renamed and removed names durable.

        Raises
        ------
        OSError
        """
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def replace(self, name, data):
        """Put a whole file in place, durably: either the old or the new one is found later.

        Parameters
        ----------
        name : str
        data : bytes

        Raises
        ------
        OSError
        """
        aside = name + ASIDE_SUFFIX
        self.remove(aside)
        self.append(aside, data)
        self.sync(aside)
        self.close_file(aside)
        os.rename(self.folder / aside, self.folder / name)
        self.sync_folder()

    def truncate(self, name, length):
        """Cut a file to a length, durably.

        Parameters
        ----------
        name : str
        length : int

        Raises
        ------
        OSError
        """
        descriptor = os.open(self.folder / name, os.O_RDWR)
        try:
            os.ftruncate(descriptor, length)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, name):
        """Remove a file, if it is there.

        Parameters
        ----------
        name : str
        """
        self.close_file(name)
        (self.folder / name).unlink(missing_ok=True)

    def close_file(self, name):
        """Close a file that was appended to.

        Parameters
        ----------
        name : str
        """
        descriptor = self._descriptor_by_name.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def close(self):
        """Close all files and give up the lock; can be called again."""
        for name in list(self._descriptor_by_name):
            self.close_file(name)
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
