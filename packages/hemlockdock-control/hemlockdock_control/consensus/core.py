"""Run the algorithm: an event and the time go in, effects come out."""

from hemlockdock_control.consensus import leadership_transfer, quorums
from hemlockdock_control.consensus.event_handlers import handle_event
from hemlockdock_control.consensus.member_state import MemberRole, MemberState


class Core:
    """Run one member's part of the algorithm, without any I/O.

    Parameters
    ----------
    timing : Timing
    member_id : str
    folder_id : str
    random : random.Random
    durable : DurableState
    now_ms : float
        From a clock that never goes back.

    Attributes
    ----------
    state : MemberState
    """

    def __init__(self, timing, member_id, folder_id, random, durable, now_ms):
        self.state = MemberState(timing, member_id, folder_id, random, durable, now_ms)

    def step(self, event, now_ms):
        """Take one event.

        Parameters
        ----------
        event : one of hemlockdock_control.consensus.events
        now_ms : float

        Returns
        -------
        list of effects
            To be run in order.
        """
        if self.state.role is MemberRole.FAILED:
            return []
        handle_event(event, self.state, now_ms)
        effects = self.state.effects
        self.state.effects = []
        return effects

    @property
    def accepts_proposals(self):
        """Tell whether commands are appended now."""
        return leadership_transfer.accepts_proposals(self.state)

    def has_lease(self, now_ms):
        """Tell whether what is applied here is all that was committed anywhere.

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
        """Return how long ago the leader was heard, or by the leader, its quorum.

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
