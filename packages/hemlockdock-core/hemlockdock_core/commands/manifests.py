"""Submit manifests."""

from hemlockdock_core.commands.base import BaseCommand


class SubmitManifest(BaseCommand, frozen=True):
    """Put a manifest in force.

    Attributes
    ----------
    number : int
    digest : str
    body : bytes
        Canonical JSON, already validated.
    who : str
        Operator's name.
    at_ms : int
        Wall-clock time of acceptance, in milliseconds since 1970.
    """

    number: int
    digest: str
    body: bytes
    who: str
    at_ms: int
