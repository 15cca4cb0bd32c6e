"""Automatic membership changes by the leader of a fleet."""

import logging

from hemlockdock_control.consensus.member_state import NEVER_MS
from hemlockdock_control.consensus.membership_planner import MemberSetView, next_change
from hemlockdock_control.consensus.progress import ProgressMode

logger = logging.getLogger(__name__)

RECONCILE_INTERVAL_MS = 100.0


class MembershipReconciler:
    """Starts the membership changes that are needed, one after the other.

    Parameters
    ----------
    change : callable
        Called with a change; returns a Deferred that fires once the change is committed.
    """

    def __init__(self, change):
        self._change = change
        self._checked_ms = float("-inf")
        self._change_pending = False
        self._known_since_ms_by_id = {}

    def reconcile(self, state, received_hello_by_id, tolerated_losses, now_ms):
        """Start the next change if one is needed; called only while this member leads.

        Parameters
        ----------
        state : MemberState
        received_hello_by_id : dict of str to ReceivedHello
        tolerated_losses : int
            Number of members that may be lost at the same time; 0 if it is not stated.
        now_ms : float
        """
        if self._change_pending or now_ms - self._checked_ms < RECONCILE_INTERVAL_MS:
            return
        self._checked_ms = now_ms
        self._update_known(state.configuration, now_ms)
        view = self._membership_view(state, received_hello_by_id, tolerated_losses, now_ms)
        change = next_change(view)
        if change is None:
            return
        self._change_pending = True
        self._change(change).addCallbacks(
            self._on_committed, self._failed, callbackArgs=[change], errbackArgs=[change]
        )

    def _on_committed(self, _, change):
        self._change_pending = False
        # The second step of a replacement follows at once.
        self._checked_ms = float("-inf")
        logger.info("membership change committed", extra={"change": repr(change)})

    def _failed(self, failure, change):
        self._change_pending = False
        logger.info(
            "membership change failed",
            extra={"change": repr(change), "problem": failure.getErrorMessage()},
        )

    def _update_known(self, configuration, now_ms):
        # A member that was added just now has not had the time to reply.
        known_since_ms_by_id = {}
        for member in configuration.members:
            known_since_ms = self._known_since_ms_by_id.get(member.member_id, now_ms)
            known_since_ms_by_id[member.member_id] = known_since_ms
        self._known_since_ms_by_id = known_since_ms_by_id

    def _membership_view(self, state, received_hello_by_id, tolerated_losses, now_ms):
        silent_ms_by_id = {}
        caught_up = set()
        for member in state.configuration.members:
            progress = state.progress_by_id.get(member.member_id)
            if member.member_id == state.member_id or progress is None:
                continue
            heard_ms = state.heard_ms(member.member_id)
            if progress.replied_ms == NEVER_MS:
                heard_ms = max(heard_ms, self._known_since_ms_by_id[member.member_id])
            silent_ms_by_id[member.member_id] = now_ms - heard_ms
            is_current = progress.match_index >= state.commit_index
            if progress.mode is ProgressMode.PIPELINE and is_current:
                caught_up.add(member.member_id)
        return MemberSetView(
            state.member_id,
            state.configuration,
            received_hello_by_id,
            silent_ms_by_id,
            caught_up,
            tolerated_losses,
            state.timing.election_ms,
            now_ms,
        )
