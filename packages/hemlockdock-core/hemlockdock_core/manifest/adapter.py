"""Manifest section for an adapter."""

from pydantic import Field

from hemlockdock_core.manifest.base import ManifestPart
from hemlockdock_core.names import Name


class Adapter(ManifestPart):
    """An adapter of a model.

    Attributes
    ----------
    name : str
        Value of ``model`` in requests for this adapter.
    model : str
        Name of its base model.
    memory_mb : int
        Accelerator memory that it needs, in MB.
    """

    name: Name
    model: Name
    memory_mb: int = Field(gt=0, le=1_000_000)
