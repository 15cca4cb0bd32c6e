"""Storage errors, with messages that tell the operator how to recover."""

REJOIN_STEPS = (
    "empty the folder and start this host under a new member id, add it as a non-voter, promote "
    "it, and remove the old member"
)


class StorageError(Exception):
    """Base class of all storage errors."""


class DamagedStorageError(StorageError):
    """Raised when durable data is missing, corrupt or inconsistent.

    Parameters
    ----------
    location : str
        File, with the offset where known, or part of the storage.
    found : str
    """

    def __init__(self, location, found):
        super().__init__(f"{location}: {found}; to recover, {REJOIN_STEPS}")
        self.location = location
        self.found = found


class ForeignFolderError(StorageError):
    """Raised when a folder belongs to another cluster or member.

    Parameters
    ----------
    folder : str
    found : str
    expected : str
    """

    def __init__(self, folder, found, expected):
        super().__init__(
            f"{folder} belongs to {found}, not to {expected}; "
            f"correct the settings, or {REJOIN_STEPS}"
        )
        self.found = found
        self.expected = expected


class NewerFormatError(StorageError):
    """Raised when a folder was written by a later release.

    Parameters
    ----------
    location : str
    found : int
    supported : int
    """

    def __init__(self, location, found, supported):
        super().__init__(
            f"{location} has format {found}, and this release supports formats up to {supported}; "
            f"install the later release, or {REJOIN_STEPS}"
        )
        self.found = found
        self.supported = supported


class FolderLockedError(StorageError):
    """Raised when another process uses the folder.

    Parameters
    ----------
    folder : str
    """

    def __init__(self, folder):
        super().__init__(f"{folder} is in use by another process; stop that process first")


class UnusedFolderError(StorageError):
    """Raised when a folder to recover was never part of a cluster.

    Parameters
    ----------
    folder : str
    """

    def __init__(self, folder):
        super().__init__(
            f"{folder} was never part of a cluster; specify the data folder of a member"
        )


class EmptiedFolderError(StorageError):
    """Raised when the folder of a member, including its votes, was emptied after it had joined.

    Parameters
    ----------
    member_id : str
    """

    def __init__(self, member_id):
        super().__init__(
            f"the folder of member {member_id} was emptied since it joined; {REJOIN_STEPS}"
        )


class StorageFailedError(StorageError):
    """Raised when a write or sync failed; no later write can be made durable.

    Parameters
    ----------
    cause : OSError
    """

    def __init__(self, cause):
        super().__init__(
            f"write failed: {cause}; free or mend the disk, which is then opened again"
        )
        self.cause = cause
