"""The other entries of the fleet, and how this one tells them something."""

from hemlockdock_core.metrics import COUNTERS

# An entry that the leader no longer hears may still hear the other entries, and serve requests.
KEEP_S = 60.0


class OtherEntries:
    """Sends notices to the other entries, without control.

    Parameters
    ----------
    clock : twisted reactor
    send : callable
        Takes an address and a message.
    """

    def __init__(self, clock, send):
        self._clock = clock
        self._send = send
        self._listed = []
        self._until_s_by_address = {}

    def update(self, addresses):
        """Replace the list of the other entries by the leader's.

        Parameters
        ----------
        addresses : list of str
        """
        now_s = self._clock.seconds()
        for address in self._listed:
            if address not in addresses:
                self._until_s_by_address[address] = now_s + KEEP_S
        for address in addresses:
            self._until_s_by_address.pop(address, None)
        self._listed = list(addresses)

    def tell(self, notice):
        """Send a notice to all other entries.

        Parameters
        ----------
        notice : CrashNotice or SoundNotice
        """
        now_s = self._clock.seconds()
        for address, until_s in list(self._until_s_by_address.items()):
            if until_s <= now_s:
                del self._until_s_by_address[address]
        for address in [*self._listed, *self._until_s_by_address]:
            COUNTERS.increment("entry_notices_sent", message=type(notice).__name__)
            self._send(address, notice)
