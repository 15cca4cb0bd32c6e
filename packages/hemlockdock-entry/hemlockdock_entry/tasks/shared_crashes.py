"""Crashes of endpoints that requests may explain, as entries tell each other."""

from hemlockdock_core.messages import CrashNotice, SoundNotice
from hemlockdock_core.suspect_keys import CRASHES_BEFORE_QUARANTINE, SAME_CRASH_MS
from hemlockdock_entry.routing import CrashTracker, TrustLevel

MS_PER_S = 1_000
ENTRY_ROLE = "entry"


class SharedCrashes:
    """Counts the crashes of endpoints under a request, here and at the other entries.

    Without control, no quarantine row brings together what entries saw. Control knows all that ran
    at a crash; an entry does not, so that one crash more counts against a request if others saw it.

    Parameters
    ----------
    coordinator : RequestCoordinator
    """

    def __init__(self, coordinator):
        self._coordinator = coordinator
        self._own = CrashTracker()
        self._known = CrashTracker(CRASHES_BEFORE_QUARANTINE, SAME_CRASH_MS / MS_PER_S)

    def trust_level(self, fingerprint):
        """Return how far a request is trusted not to crash its endpoint.

        Parameters
        ----------
        fingerprint : str

        Returns
        -------
        TrustLevel
        """
        table = self._coordinator.link.table
        question = (table, fingerprint, self._now_s, self._coordinator.wall_ms())
        level = self._known.trust_level(*question)
        return level if level is TrustLevel.REFUSED else self._own.trust_level(*question)

    def record_crash(self, fingerprint, endpoint_id):
        """Record that an endpoint was lost while running a request, and tell the other entries.

        Parameters
        ----------
        fingerprint, endpoint_id : str
        """
        self._own.record_crash(fingerprint, self._now_s, endpoint_id)
        self._known.record_crash(fingerprint, self._now_s, endpoint_id)
        self._tell(CrashNotice(endpoint_id, {fingerprint: ()}))

    def record_success(self, fingerprint):
        """Record that a request was answered; the other entries are told if it was a suspect.

        Parameters
        ----------
        fingerprint : str
        """
        self._own.record_success(fingerprint)
        if self._known.record_success(fingerprint):
            self._tell(SoundNotice([fingerprint]))

    def record_told_crash(self, endpoint_id, parts_by_fingerprint, sender):
        """Record a crash that another entry saw.

        Parameters
        ----------
        endpoint_id : str
        parts_by_fingerprint : dict of str to tuple of str
            The requests that may explain it are the keys.
        sender : str
            Node id of the entry.
        """
        for fingerprint in parts_by_fingerprint:
            self._known.record_crash(fingerprint, self._now_s, endpoint_id, sender)

    def record_told_sound(self, key):
        """Record that another entry saw an answer to a suspect.

        Parameters
        ----------
        key : str
        """
        self._own.record_success(key)
        self._known.record_success(key)

    def remove_expired(self):
        """Remove crashes that are older than the retention time."""
        self._own.remove_expired(self._now_s)
        self._known.remove_expired(self._now_s)

    @property
    def _now_s(self):
        return self._coordinator.clock.seconds()

    def _tell(self, notice):
        for node in self._coordinator.link.table.node_by_id.values():
            if node.role != ENTRY_ROLE or node.node_id == self._coordinator.node_id:
                continue
            self._coordinator.send(node.address, notice)
