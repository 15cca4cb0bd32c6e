"""Manifest section for a service without models."""

from pydantic import Field, HttpUrl

from hemlockdock_core.manifest.base import ManifestPart
from hemlockdock_core.names import Name


class Service(ManifestPart):
    """A service that runs beside the engines and has no models.

    Attributes
    ----------
    name : str
    urls : list of pydantic.HttpUrl
        Base URLs of its instances.
    request_class : str
    repeatable_methods : list of str
        HTTP methods whose requests may be repeated.
    most_in_flight : int
        Maximum number of concurrent requests to all instances, per entry process.
    """

    name: Name
    urls: list[HttpUrl] = Field(min_length=1)
    request_class: Name
    repeatable_methods: list[str] = Field(default_factory=lambda: ["GET", "HEAD"])
    most_in_flight: int = Field(default=64, ge=1, le=100_000)
