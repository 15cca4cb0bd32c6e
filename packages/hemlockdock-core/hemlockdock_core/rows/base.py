"""Base class of all routing table rows."""

import msgspec


class BaseRow(msgspec.Struct, frozen=True, array_like=True, tag=True, gc=False):
    """Base class of rows, encoded as an array whose first item is the class name.

    Each subclass has a ``key`` property.
    """
