"""File access in a locked data folder."""

import fcntl
import os
from pathlib import Path

from hemlockdock_control.storage.errors import FolderLockedError

LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".new"


class Disk:
    """Files of one folder, locked for exclusive use by this process.

    Parameters
    ----------
    folder : str or pathlib.Path

    Raises
    ------
    FolderLockedError
        If another process holds the lock.
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
        """Return the sorted names of all files except the lock file."""
        return sorted(path.name for path in self.folder.iterdir() if path.name != LOCK_NAME)

    def read(self, name):
        """Return the contents of a file.

        Parameters
        ----------
        name : str

        Returns
        -------
        bytes
        """
        return (self.folder / name).read_bytes()

    def append(self, name, data):
        """Append to a file, creating it if necessary.

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
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def sync(self, name):
        """Flush the appended data of a file to the disk.

        Parameters
        ----------
        name : str

        Raises
        ------
        OSError
        """
        os.fdatasync(self._descriptor_by_name[name])

    def sync_folder(self):
        """Flush the directory entries of the folder to the disk.

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
        """Replace a file atomically and durably.

        After a crash, the file has either the old or the new contents.

        Parameters
        ----------
        name : str
        data : bytes

        Raises
        ------
        OSError
        """
        temporary_name = name + TEMPORARY_SUFFIX
        self.remove(temporary_name)
        self.append(temporary_name, data)
        self.sync(temporary_name)
        self.close_file(temporary_name)
        os.rename(self.folder / temporary_name, self.folder / name)
        self.sync_folder()

    def truncate(self, name, length):
        """Truncate a file durably.

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
        """Remove a file if it exists.

        Parameters
        ----------
        name : str
        """
        self.close_file(name)
        (self.folder / name).unlink(missing_ok=True)

    def close_file(self, name):
        """Close a file that is open for appending.

        Parameters
        ----------
        name : str
        """
        descriptor = self._descriptor_by_name.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def close(self):
        """Close all files and release the lock; further calls have no effect."""
        for name in list(self._descriptor_by_name):
            self.close_file(name)
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
