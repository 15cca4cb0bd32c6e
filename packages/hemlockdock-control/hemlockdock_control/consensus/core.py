"""The Raft state machine of one member, without I/O: it maps events to effects."""

from hemlockdock_control.consensus import leadership_transfer, quorums
from hemlockdock_control.consensus.event_handlers import handle_event
from hemlockdock_control.consensus.member_state import MemberRole, MemberState


class Core:
    """The consensus algorithm of one member.

    It does no I/O and reads no clock: each step takes an event and the time, and returns the
    effects for the caller to carry out.

    Parameters
    ----------
    timing : Timing
    member_id : str
    folder_id : str
    random : random.Random
    durable : DurableState
    now_ms : float
        Time of a monotonic clock.

    Attributes
    ----------
    state : MemberState
    """

    def __init__(self, timing, member_id, folder_id, random, durable, now_ms):
        self.state = MemberState(timing, member_id, folder_id, random, durable, now_ms)

    def step(self, event, now_ms):
        """Process one event.

        Parameters
        ----------
        event : one of hemlockdock_control.consensus.events
        now_ms : float

        Returns
        -------
        list of effects
            To be carried out in this order.
        """
        if self.state.role is MemberRole.FAILED:
            return []
        handle_event(event, self.state, now_ms)
        effects = self.state.effects
        self.state.effects = []
        return effects

    @property
    def accepts_proposals(self):
        """Return whether this member accepts proposals now."""
        return leadership_transfer.accepts_proposals(self.state)

    def has_lease(self, now_ms):
        """Return whether this member leads and holds a lease.

        While it does, everything committed in the cluster is known here to be committed.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        bool
        """
        state = self.state
        if not state.is_leader or state.commit_index < state.term_start_index:
            return False
        return now_ms < quorums.lease_expiry_ms(state, now_ms)

    def contact_age_ms(self, now_ms):
        """Return the time since the last contact with the leader, or on the leader, with a quorum.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        float
        """
        if self.state.is_leader:
            return now_ms - quorums.quorum_contact_ms(self.state, now_ms)
        return now_ms - self.state.leader_contact_ms
