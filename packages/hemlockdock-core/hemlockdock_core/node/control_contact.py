"""Contact of a node with control, by the heartbeats that control has confirmed."""

MAX_UNACKNOWLEDGED_HEARTBEATS = 256
# Limits that all entries share are divided by this number until control reports the actual one.
ASSUMED_ENTRY_COUNT = 8


class ControlContact:
    """Heartbeats that were sent and confirmed, and what control said with its answers.

    Contact counts from when a heartbeat was sent, not from when its acknowledgement arrived:
    control starts its own silence timer later than that, even if the acknowledgement was delayed.

    Attributes
    ----------
    fresh_s : float or None
        Time at which the last heartbeat was sent that a member in contact with a leader confirmed.
    leader_s : float or None
        The same, for a leader that issues permits.
    issues_permits : bool
        Whether the selected member is a leader that issues permits for endpoints with a limit.
    entries : int
        Largest number of live entries that control ever reported, ASSUMED_ENTRY_COUNT before the
        first report.
    reported_entries : int
        The same, but 0 before the first report.
    capacity_ratio : float
        Capacity of this entry in relation to the mean of all, as last reported; 1 before.
    """

    def __init__(self):
        self._sent_s_by_sequence = {}
        self.fresh_s = None
        self.leader_s = None
        self.issues_permits = False
        self.entries = ASSUMED_ENTRY_COUNT
        self.reported_entries = 0
        self.capacity_ratio = 1.0

    def seconds_since_heartbeat(self, now_s):
        """Return the seconds since the last confirmed heartbeat was sent; None if there is none.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float or None
        """
        return None if self.fresh_s is None else now_s - self.fresh_s

    def is_fresh(self, now_s, limit_s):
        """Tell whether control confirmed a heartbeat that was sent not longer ago than a limit.

        Parameters
        ----------
        now_s, limit_s : float

        Returns
        -------
        bool
        """
        return self.fresh_s is not None and now_s - self.fresh_s <= limit_s

    def leader_answered(self, now_s, limit_s):
        """Tell the same of a leader that issues permits.

        Parameters
        ----------
        now_s, limit_s : float

        Returns
        -------
        bool
        """
        return self.leader_s is not None and now_s - self.leader_s <= limit_s

    def record_sent(self, sequence, now_s):
        """Record a heartbeat that was sent.

        Parameters
        ----------
        sequence : int
        now_s : float
        """
        self._sent_s_by_sequence[sequence] = now_s
        self._sent_s_by_sequence.pop(sequence - MAX_UNACKNOWLEDGED_HEARTBEATS, None)

    def record_ack(self, ack):
        """Record the answer to a heartbeat.

        Parameters
        ----------
        ack : HeartbeatAck
        """
        # A new leader learns of the entries one by one and reports too few at first, so the number
        # never decreases.
        self.entries = max(self.entries, ack.entries)
        self.reported_entries = max(self.reported_entries, ack.entries)
        # Followers, and a leader that does not know all entries yet, report none.
        self.capacity_ratio = ack.capacity_ratio or self.capacity_ratio
        self.issues_permits = ack.issues_permits
        sent_s = self._sent_s_by_sequence.get(ack.sequence)
        for older in [key for key in self._sent_s_by_sequence if key <= ack.sequence]:
            del self._sent_s_by_sequence[older]
        if sent_s is None:
            return
        if ack.fresh:
            self.fresh_s = max(sent_s, self.fresh_s or sent_s)
        if ack.issues_permits:
            self.leader_s = max(sent_s, self.leader_s or sent_s)
