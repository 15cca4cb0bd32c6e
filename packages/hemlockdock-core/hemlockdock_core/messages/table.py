"""Spread the routing table."""

from hemlockdock_core.messages.message import Message
from hemlockdock_core.rows import Row


class WatchTable(Message, frozen=True):
    """Ask for the table, or for what changed since a revision. Node to control.

    Attributes
    ----------
    epoch : int
        Epoch of the table held; 0 for none.
    revision : int
        Revision held; 0 for none.
    """

    epoch: int
    revision: int


class TableChunk(Message, frozen=True):
    """Carry a part of a whole table. Control to node.

    Attributes
    ----------
    epoch : int
    revision : int
    index : int
        From 0.
    count : int
        Number of parts.
    rows : list of Row
    """

    epoch: int
    revision: int
    index: int
    count: int
    rows: list[Row]


class TableDelta(Message, frozen=True):
    """Carry the changes from one revision to a later one. Control to node.

    Attributes
    ----------
    epoch : int
    from_revision : int
    to_revision : int
    puts : list of Row
    deletes : list of str
        Keys of rows that are gone.
    """

    epoch: int
    from_revision: int
    to_revision: int
    puts: list[Row]
    deletes: list[str]
