"""Tell whether the leader hears what a member hears."""

MS_PER_S = 1_000
MAX_UNANSWERED = 256


class LeaderContact:
    """Decide whether heartbeats taken here count as heard by the leader.

    An agent whose heartbeats are acknowledged as fresh keeps its models loaded. Were it enough
    that this member hears the leader, a link that fails in the other direction only would let
    the leader give the agent up while the agent goes on. So digests have to be acknowledged.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
    replicator : Replicator
    clock_ms : callable
        Returns a time that never goes back, and goes on while the process is stopped.
    """

    def __init__(self, settings, replicator, clock_ms):
        self._limit_ms = 2 * settings.control.election_ms
        self._replicator = replicator
        self._clock_ms = clock_ms
        self._sequence = 0
        self._sent_ms_by_sequence = {}
        self._acknowledged_ms = None

    def next_sequence(self):
        """Return the number of a digest that is sent now.

        Returns
        -------
        int
        """
        self._sequence += 1
        self._sent_ms_by_sequence[self._sequence] = self._clock_ms()
        if len(self._sent_ms_by_sequence) > MAX_UNANSWERED:
            del self._sent_ms_by_sequence[next(iter(self._sent_ms_by_sequence))]
        return self._sequence

    def acknowledged(self, sequence):
        """Take in that the leader has a digest.

        Parameters
        ----------
        sequence : int
        """
        sent_ms = self._sent_ms_by_sequence.pop(sequence, None)
        if sent_ms is None:
            return
        # Counted from when it was sent: the answer itself may have waited for long.
        self._acknowledged_ms = max(self._acknowledged_ms or sent_ms, sent_ms)

    @property
    def fresh(self):
        """Tell whether what this member hears reaches a leader in time."""
        if self._replicator.last_leader_contact_s * MS_PER_S > self._limit_ms:
            return False
        if self._replicator.is_leader:
            return True
        if self._acknowledged_ms is None:
            return False
        return self._clock_ms() - self._acknowledged_ms <= self._limit_ms
