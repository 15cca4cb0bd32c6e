"""Manifest section for a model."""

from pydantic import Field

from hemlockdock_core.manifest.base import ManifestPart
from hemlockdock_core.manifest.version import Version
from hemlockdock_core.names import Name


class Model(ManifestPart):
    """A model that can be served.

    Attributes
    ----------
    name : str
    versions : list of Version
    serve : str
        Name of the version that serves requests.
    request_class : str
        Class of requests that specify none.
    priority : int
        From 0 to 100; higher values take precedence.
    most_replicas : int
        Maximum number of loaded replicas, over all versions.
    requests_per_replica : int
        Maximum number of concurrent requests per replica.
    endpoint_groups : list of str
        Groups whose endpoints may load it; empty for all groups.
    """

    name: Name
    versions: list[Version] = Field(min_length=1)
    serve: Name
    request_class: Name
    priority: int = Field(default=50, ge=0, le=100)
    most_replicas: int = Field(default=1, ge=1, le=10_000)
    requests_per_replica: int = Field(default=8, ge=1, le=10_000)
    endpoint_groups: list[Name] = Field(default_factory=list)
