"""Exceptions of the consensus package."""


class NotLeaderError(Exception):
    """Raised when a command was not appended because this member is not the leader.

    The command is certainly not committed, so it is safe to send it to another member.

    Parameters
    ----------
    leader_id : str
        Empty if the leader is not known.
    """

    def __init__(self, leader_id):
        super().__init__(f"not the leader; the leader is {leader_id or 'not known'}")
        self.leader_id = leader_id


class BacklogFullError(NotLeaderError):
    """Raised when a command was not appended because too many commands are pending."""


class UnknownOutcomeError(Exception):
    """Raised when a command may or may not be committed.

    Only an idempotent command may be retried then.
    """

    def __init__(self):
        super().__init__("the command may or may not be committed")


class CommandTooLargeError(ValueError):
    """Raised when a command is larger than the limit for frames between members.

    Parameters
    ----------
    size : int
        In bytes.
    limit : int
        In bytes.
    """

    def __init__(self, size, limit):
        super().__init__(f"a command of {size} bytes is over the limit of {limit}")


class ChangeRefusedError(Exception):
    """Raised when a membership change can't be started now.

    Parameters
    ----------
    reason : ChangeRefusal
    """

    def __init__(self, reason):
        super().__init__(reason.value)
        self.reason = reason
