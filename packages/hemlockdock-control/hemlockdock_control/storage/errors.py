"""Define the errors of storage, each with what was found and the operator's way out."""

REJOIN = (
    "empty the folder and start this host under a new member id, add it as a non-voter, promote "
    "it, and remove the old member"
)


class StorageError(Exception):
    """Be the base of all storage errors."""


class DamagedStorageError(StorageError):
    """Raise where durable data is no longer as it was written.

    Parameters
    ----------
    place : str
        File and offset.
    found : str
    """

    def __init__(self, place, found):
        super().__init__(f"{place}: {found}; to go on, {REJOIN}")
        self.place = place
        self.found = found


class ForeignFolderError(StorageError):
    """Raise where a folder belongs to another cluster or member.

    Parameters
    ----------
    folder : str
    found : str
    expected : str
    """

    def __init__(self, folder, found, expected):
        super().__init__(
            f"{folder} belongs to {found}, not to {expected}; correct the settings, or {REJOIN}"
        )
        self.found = found
        self.expected = expected


class NewerFormatError(StorageError):
    """Raise where a folder was written by a later release.

    Parameters
    ----------
    place : str
    found : int
    known : int
    """

    def __init__(self, place, found, known):
        super().__init__(
            f"{place} has format {found}, and this release reads up to {known}; "
            f"install the later release, or {REJOIN}"
        )
        self.found = found
        self.known = known


class FolderLockedError(StorageError):
    """Raise where another process uses the folder.

    Parameters
    ----------
    folder : str
    """

    def __init__(self, folder):
        super().__init__(f"{folder} is in use by another process; stop that one first")


class UnusedFolderError(StorageError):
    """Raise where there is nothing to recover.

    Parameters
    ----------
    folder : str
    """

    def __init__(self, folder):
        super().__init__(f"{folder} was never part of a cluster; name the folder that was")


class EmptiedFolderError(StorageError):
    """Raise where a member's folder was emptied after it had joined, and with it its votes.

    Parameters
    ----------
    member_id : str
    """

    def __init__(self, member_id):
        super().__init__(f"the folder of member {member_id} was emptied since it joined; {REJOIN}")


class StorageFailedError(StorageError):
    """Raise where a write or sync failed; nothing after it can be promised.

    Parameters
    ----------
    cause : OSError
    """

    def __init__(self, cause):
        super().__init__(f"write failed: {cause}; mend the disk, then restart the process")
        self.cause = cause
