"""Command that submits a manifest."""

from hemlockdock_core.commands.base import BaseCommand


class SubmitManifest(BaseCommand, frozen=True):
    """Activate a manifest.

    Attributes
    ----------
    number : int
    digest : str
    body : bytes
        Canonical JSON, already validated.
    who : str
        Operator's name.
    at_ms : int
        Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    """

    number: int
    digest: str
    body: bytes
    who: str
    at_ms: int
