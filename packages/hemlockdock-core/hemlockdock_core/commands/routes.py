"""Commands about route manifests and endpoints."""

from hemlockdock_core.commands.base import BaseCommand
from hemlockdock_core.routes import RouteManifest
from hemlockdock_core.rows import EndpointRow


class SubmitRoutes(BaseCommand, frozen=True):
    """Activate a route manifest if its number is higher than that of the active one.

    Attributes
    ----------
    manifest : RouteManifest
    document : bytes
        The text that the operator submitted, compressed, so that it can be read back unchanged.
    who : str
        Operator's name.
    at_ms : int
        Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    """

    manifest: RouteManifest
    document: bytes
    who: str
    at_ms: int


class RecordEndpoints(BaseCommand, frozen=True):
    """Record endpoints that were added, changed or removed.

    Attributes
    ----------
    present : tuple of EndpointRow
        Endpoints that were added or changed.
    gone : tuple of str
        Ids of the endpoints that were removed.
    at_ms : int
    store_loads : int
        Number of loads that the weight store was measured to carry at full speed; 0 if it was not.
    """

    present: tuple[EndpointRow, ...]
    gone: tuple[str, ...]
    at_ms: int
    store_loads: int = 0
