"""Messages that replicate the routing table to the nodes."""

from typing import ClassVar

from hemlockdock_core.messages.message import Message
from hemlockdock_core.rows import Row


class WatchTable(Message, frozen=True):
    """Request for the table or its changes since a revision. Sent by a node to control.

    Attributes
    ----------
    epoch : int
        Epoch of the node's table; 0 for none.
    revision : int
        Revision of the node's table; 0 for none.
    """

    epoch: int
    revision: int


class TableChunk(Message, frozen=True):
    """A part of a full copy of the table. Sent by control to a node.

    Attributes
    ----------
    epoch : int
    revision : int
    index : int
        Index of this part, starting at 0.
    count : int
        Number of parts.
    rows : list of Row
    """

    expects_answer: ClassVar[bool] = False

    epoch: int
    revision: int
    index: int
    count: int
    rows: list[Row]


class TableDelta(Message, frozen=True):
    """The changes from one revision to a later one. Sent by control to a node.

    Attributes
    ----------
    epoch : int
    from_revision : int
    to_revision : int
    puts : list of Row
    deletes : list of str
        Keys of the deleted rows.
    """

    expects_answer: ClassVar[bool] = False

    epoch: int
    from_revision: int
    to_revision: int
    puts: list[Row]
    deletes: list[str]
