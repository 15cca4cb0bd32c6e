"""Manifest section for a version of a model."""

from pydantic import Field

from hemlockdock_core.manifest.base import ManifestPart
from hemlockdock_core.names import Name


class Version(ManifestPart):
    """A version of a model, with its checkpoint.

    Attributes
    ----------
    name : str
    memory_mb : int
        Accelerator memory for the weights, loading buffers and minimum KV cache, in MB.
    checkpoint_mb : int
        Size of the checkpoint in the weight store, in MB.
    """

    name: Name
    memory_mb: int = Field(gt=0, le=10_000_000)
    checkpoint_mb: int = Field(gt=0, le=10_000_000)
