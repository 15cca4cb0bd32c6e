"""Message that reports an engine crash."""

from hemlockdock_core.messages.message import Message


class CrashReport(Message, frozen=True):
    """Report of an engine crash with requests in flight. Sent by an agent to control.

    Attributes
    ----------
    crash_id : str
        Unique id of the crash; a resent report has the same id.
    fingerprints : list of str
        Fingerprints of the requests in flight.
    """

    crash_id: str
    fingerprints: list[str]
