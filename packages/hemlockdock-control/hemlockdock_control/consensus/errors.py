"""Define the errors of consensus."""


class NotLeaderError(Exception):
    """Raise where a command was certainly not appended, so that it can be sent elsewhere.

    Parameters
    ----------
    leader_id : str
        Empty where it isn't known.
    """

    def __init__(self, leader_id):
        super().__init__(f"not the leader; the leader is {leader_id or 'not known'}")
        self.leader_id = leader_id


class BacklogFullError(NotLeaderError):
    """Raise where too many commands wait already; this one was certainly not appended."""


class UnknownOutcomeError(Exception):
    """Raise where a command may or may not be committed, so that only an idempotent retry helps."""

    def __init__(self):
        super().__init__("the command may or may not be committed")


class CommandTooLargeError(ValueError):
    """Raise where a command is larger than a frame between members may carry.

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
    """Raise where a change of members can't be begun now.

    Parameters
    ----------
    reason : ChangeRefusal
    """

    def __init__(self, reason):
        super().__init__(reason.value)
        self.reason = reason
