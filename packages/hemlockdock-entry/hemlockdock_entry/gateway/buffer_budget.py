"""Limit the memory for responses that wait for their end."""


class BufferBudget:
    """The bytes of responses that all exchanges of an entry hold back.

    Parameters
    ----------
    max_bytes : int
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._held_bytes = 0

    def change(self, before, after):
        """Change what one exchange holds back.

        Parameters
        ----------
        before, after : int
            Bytes.

        Returns
        -------
        bool
            Whether all exchanges together stay within the limit.
        """
        self._held_bytes += after - before
        return self._held_bytes <= self._max_bytes
