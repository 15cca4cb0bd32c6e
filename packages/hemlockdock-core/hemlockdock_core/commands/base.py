"""Give all commands their common base."""

import msgspec


class BaseCommand(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Encode as a compact array whose first item names the type."""
