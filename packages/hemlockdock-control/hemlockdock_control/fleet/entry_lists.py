"""Tell entries the addresses of each other."""

from dataclasses import dataclass

from hemlockdock_core.messages import EntryList

# Many entries that start at the same moment make one list each, not hundreds.
MIN_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class SentList:
    """What an entry was told last.

    Attributes
    ----------
    version : int
    at_s : float
    """

    version: int
    at_s: float


class EntryLists:
    """Sends each entry the addresses of the others when they have changed.

    Parameters
    ----------
    send : callable
        Takes an address and a message.
    """

    def __init__(self, send):
        self._send = send
        self._addresses = set()
        self._version = 0
        self._sent_by_address = {}

    def heartbeat(self, address, now_s, is_new):
        """Handle a heartbeat of an entry to the leader.

        Parameters
        ----------
        address : str
        now_s : float
        is_new : bool
            Whether the entry knows nothing yet.
        """
        if address not in self._addresses:
            self._addresses.add(address)
            self._version += 1
        sent = None if is_new else self._sent_by_address.get(address)
        if sent is not None and not self._is_due(sent, now_s):
            return
        self._sent_by_address[address] = SentList(self._version, now_s)
        self._send(address, EntryList(sorted(self._addresses - {address})))

    def _is_due(self, sent, now_s):
        return sent.version != self._version and now_s - sent.at_s >= MIN_INTERVAL_S

    def remove(self, address):
        """Remove an entry that is no longer heard; other nodes are ignored.

        Parameters
        ----------
        address : str
        """
        self._sent_by_address.pop(address, None)
        if address in self._addresses:
            self._addresses.remove(address)
            self._version += 1
