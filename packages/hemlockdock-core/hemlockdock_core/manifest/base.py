"""Share what all manifest models have in common."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, StringConstraints

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$"
Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]


class ManifestPart(BaseModel):
    """Refuse unknown fields and forbid changes after validation."""

    model_config = ConfigDict(extra="forbid", frozen=True, protected_namespaces=())
