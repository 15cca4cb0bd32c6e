"""The pattern for names of models, nodes and other objects."""

from typing import Annotated

from pydantic import StringConstraints

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$"
Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]
