"""Hold back the body of a response until it is complete."""

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024


class ResponseBuffer:
    """What one exchange holds back of the response to its current attempt.

    Parameters
    ----------
    budget : BufferBudget
    """

    def __init__(self, budget):
        self._budget = budget
        self._body = bytearray()
        self._held_bytes = 0

    @property
    def body(self):
        """Return the body so far."""
        return self._body

    def add(self, data):
        """Add a part of the body.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bool
            Whether it may be held back.
        """
        self._body += data
        return self._hold(self._held_bytes + len(data), MAX_BODY_BYTES)

    def hold_event(self, partial_bytes):
        """Count the incomplete event at the end of a stream.

        Parameters
        ----------
        partial_bytes : int

        Returns
        -------
        bool
            Whether it may be held back.
        """
        return self._hold(partial_bytes, MAX_EVENT_BYTES)

    def release(self):
        """Give back the share of the budget; the body stays until ``clear``."""
        self._hold(0, MAX_BODY_BYTES)

    def clear(self):
        """Discard the body."""
        self._body = bytearray()
        self.release()

    def _hold(self, held_bytes, max_bytes):
        before, self._held_bytes = self._held_bytes, held_bytes
        return self._budget.change(before, held_bytes) and held_bytes <= max_bytes
