"""Commands about requests that crash endpoints."""

from hemlockdock_core.commands.base import BaseCommand


class RecordCrash(BaseCommand, frozen=True):
    """Record an engine crash and the requests in flight; idempotent.

    Attributes
    ----------
    crash_id : str
        Unique id of the crash; a repeated command has the same id.
    node_id : str
    fingerprints : list of str
        Fingerprints of the requests in flight.
    at_ms : int
    is_complete : bool
        Whether these are all requests that were in flight. If not, other nodes may report the
        same crash, and ``crash_id`` is the id of the endpoint.
    parts_by_fingerprint : dict of str to tuple of str
        Ids of the parts of the requests' prompts that may explain the crash.
    """

    crash_id: str
    node_id: str
    fingerprints: list[str]
    at_ms: int
    is_complete: bool = True
    parts_by_fingerprint: dict[str, tuple[str, ...]] = {}


class ReleaseQuarantine(BaseCommand, frozen=True):
    """Release requests or parts of prompts from quarantine or suspicion.

    Attributes
    ----------
    fingerprint : str
        Or the key of a part; see ``suspect_keys``.
    who : str
        Operator's name.
    at_ms : int
    others : tuple of str
        Further requests or parts.
    """

    fingerprint: str
    who: str
    at_ms: int
    others: tuple[str, ...] = ()
