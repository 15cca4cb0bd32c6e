"""Bound how many peers a member keeps links to."""

MAX_ADDRESSES = 4_096


class AddressTable:
    """Remember when each address was last used, so that links to old ones can be closed.

    A node that restarts mostly comes back at another port; without this, each of its former
    addresses would keep a socket that dials for ever.
    """

    def __init__(self):
        self._used_ms_by_address = {}

    def touch(self, address, now_ms):
        """Note that an address is in use.

        Parameters
        ----------
        address : str
        now_ms : float
            By the silence clock.

        Returns
        -------
        bool
            False where there are as many addresses as are taken.
        """
        known = address in self._used_ms_by_address
        if not known and len(self._used_ms_by_address) >= MAX_ADDRESSES:
            return False
        self._used_ms_by_address[address] = now_ms
        return True

    def forget_silent(self, now_ms, silent_ms):
        """Drop addresses that were not used for a time.

        Parameters
        ----------
        now_ms, silent_ms : float

        Returns
        -------
        list of str
            Those dropped.
        """
        silent = [
            address
            for address, used_ms in self._used_ms_by_address.items()
            if now_ms - used_ms >= silent_ms
        ]
        for address in silent:
            del self._used_ms_by_address[address]
        return silent
