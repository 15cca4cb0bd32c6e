"""Base class of all manifest sections."""

from pydantic import BaseModel, ConfigDict


class ManifestPart(BaseModel):
    """Immutable pydantic model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True, protected_namespaces=())
