"""Give all rows their common base."""

import msgspec


class BaseRow(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Encode as a compact array; each row type has a ``key`` property."""
