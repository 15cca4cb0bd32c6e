"""Define the position in a response stream that event IDs encode."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamPosition:
    """A byte position in a response that an agent stores.

    Attributes
    ----------
    request_id : str
    node_id : str
        Agent that stores the response.
    offset : int
        Number of bytes of the response before the position.
    """

    request_id: str
    node_id: str
    offset: int = 0

    @property
    def stream_id(self):
        """ID of the stream, as ``request@agent``."""
        return f"{self.request_id}@{self.node_id}"

    def __str__(self):
        return f"{self.stream_id}:{self.offset}"

    @classmethod
    def parse(cls, text):
        """Parse ``request@agent`` or ``request@agent:offset``.

        Parameters
        ----------
        text : str

        Returns
        -------
        StreamPosition or None
            None if the text has another form.
        """
        stream_id, separator, offset = text.partition(":")
        request_id, at, node_id = stream_id.partition("@")
        if not (at and request_id and node_id):
            return None
        if separator and not (offset.isascii() and offset.isdigit() and len(offset) < 16):
            return None
        return cls(request_id, node_id, int(offset) if separator else 0)
