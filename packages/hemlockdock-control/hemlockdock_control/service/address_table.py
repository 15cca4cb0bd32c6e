"""Limit the number of peers that a member keeps links to."""

MAX_ADDRESSES = 4_096


class AddressTable:
    """Record when each address was last used, so that links to unused ones can be closed.

    A restarted node usually listens on another port. Without this table, each of its former
    addresses would keep a socket that tries to connect forever.
    """

    def __init__(self):
        self._used_ms_by_address = {}

    def touch(self, address, now_ms):
        """Record that an address is in use.

        Parameters
        ----------
        address : str
        now_ms : float
            By the silence clock.

        Returns
        -------
        bool
            False if the address is new and the table is full.
        """
        known = address in self._used_ms_by_address
        if not known and len(self._used_ms_by_address) >= MAX_ADDRESSES:
            return False
        self._used_ms_by_address[address] = now_ms
        return True

    def remove_silent(self, now_ms, silent_ms):
        """Remove addresses that were not used for a given time.

        Parameters
        ----------
        now_ms, silent_ms : float

        Returns
        -------
        list of str
            The removed addresses.
        """
        silent = [
            address
            for address, used_ms in self._used_ms_by_address.items()
            if now_ms - used_ms >= silent_ms
        ]
        for address in silent:
            del self._used_ms_by_address[address]
        return silent
