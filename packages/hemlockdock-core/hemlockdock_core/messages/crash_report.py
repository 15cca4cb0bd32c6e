"""Report that an engine died with requests in flight."""

from hemlockdock_core.messages.message import Message


class CrashReport(Message, frozen=True):
    """Report that an engine died with requests in flight. Agent to control.

    Attributes
    ----------
    crash_id : str
        Unique; repeats of the report carry the same one.
    fingerprints : list of str
    """

    crash_id: str
    fingerprints: list[str]
