"""Count the entries of a fleet, and those of them that this leader has lost touch with."""

from dataclasses import dataclass

# Several heartbeat intervals. Entries without an acknowledgement pace themselves only later.
SILENT_AFTER_S = 2.5
# An entry that is silent for longer is taken for gone.
KEPT_S = 600.0
# Entries are counted for each wish for a permit, of which there may be thousands a second.
COUNTS_VALID_S = 0.1


@dataclass(slots=True)
class KnownEntry:
    """An entry that sent a message to this leader.

    Attributes
    ----------
    heard_s : float
    leaving : bool
        Whether it accepts no new requests.
    """

    heard_s: float
    leaving: bool


@dataclass(frozen=True, slots=True)
class EntryCounts:
    """Numbers of entries.

    Attributes
    ----------
    total : int
    silent : int
        Those that the leader has lost touch with, which may go on by themselves.
    """

    total: int
    silent: int


class EntryRoster:
    """The entries that sent messages to this leader, and how many there were under earlier ones.

    Parameters
    ----------
    now_s : float
    """

    def __init__(self, now_s):
        self._since_s = now_s
        self._entry_by_id = {}
        self._reported = 0
        self._counts = None
        self._counted_s = now_s

    def record_message(self, entry_id, now_s):
        """Record that an entry was heard of, other than by a heartbeat.

        Parameters
        ----------
        entry_id : str
        now_s : float
        """
        known = self._entry_by_id.get(entry_id)
        self.record_heartbeat(entry_id, now_s, known is not None and known.leaving)

    def record_heartbeat(self, entry_id, now_s, leaving=False):
        """Record a heartbeat of an entry.

        Parameters
        ----------
        entry_id : str
        now_s : float
        leaving : bool, optional
        """
        known = self._entry_by_id.get(entry_id)
        if known is None or now_s - known.heard_s > SILENT_AFTER_S:
            self._counts = None
        self._entry_by_id[entry_id] = KnownEntry(now_s, leaving)

    def record_reported(self, entries):
        """Record the number of entries that an entry heard of.

        Parameters
        ----------
        entries : int
        """
        if entries > self._reported:
            self._reported = entries
            self._counts = None

    def counts(self, now_s):
        """Return the numbers of entries.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        EntryCounts
        """
        if self._counts is None or now_s - self._counted_s >= COUNTS_VALID_S:
            self._counts = self._count(now_s)
            self._counted_s = now_s
        return self._counts

    def _count(self, now_s):
        active = 0
        known = 0
        for entry_id, entry in list(self._entry_by_id.items()):
            silent_s = now_s - entry.heard_s
            if silent_s > KEPT_S or (entry.leaving and silent_s > SILENT_AFTER_S):
                del self._entry_by_id[entry_id]
                continue
            known += 1
            active += silent_s <= SILENT_AFTER_S
        # A new leader has not heard from entries that were cut off before it was elected.
        if now_s - self._since_s <= KEPT_S:
            known = max(known, self._reported)
        return EntryCounts(known, known - active)
