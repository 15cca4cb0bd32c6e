"""Base class of all commands."""

import msgspec


class BaseCommand(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of commands, encoded as an array whose first item is the class name."""
