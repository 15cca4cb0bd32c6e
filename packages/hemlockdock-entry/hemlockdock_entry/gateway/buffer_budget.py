"""Limit the memory for responses that wait for their end."""


class BufferBudget:
    """The bytes of responses that all exchanges of an entry hold back.

    Parameters
    ----------
    max_bytes : int
    least_bytes : int
        What may always be held back.
    used_bytes : callable
        Returns how much of ``max_bytes`` is used by others.
    """

    def __init__(self, max_bytes, least_bytes, used_bytes):
        self._max_bytes = max_bytes
        self._least_bytes = least_bytes
        self._used_bytes = used_bytes
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
        free_bytes = self._max_bytes - self._used_bytes()
        return self._held_bytes <= max(self._least_bytes, free_bytes)
