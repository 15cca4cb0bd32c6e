"""Record requests that crash endpoints."""

from hemlockdock_core.commands.base import BaseCommand


class RecordCrash(BaseCommand, frozen=True):
    """Record an engine crash and what was in flight; repeats change nothing.

    Attributes
    ----------
    crash_id : str
    node_id : str
    fingerprints : list of str
    at_ms : int
    """

    crash_id: str
    node_id: str
    fingerprints: list[str]
    at_ms: int


class ReleaseQuarantine(BaseCommand, frozen=True):
    """Let a quarantined fingerprint run again.

    Attributes
    ----------
    fingerprint : str
    who : str
    at_ms : int
    """

    fingerprint: str
    who: str
    at_ms: int
