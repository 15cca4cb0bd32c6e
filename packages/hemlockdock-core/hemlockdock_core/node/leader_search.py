"""When a node of a fleet asks all control members for the leader."""

# After this many heartbeat intervals without a frame from the selected member, all members are
# asked: any of them can name the leader.
SEARCH_AFTER_HEARTBEATS = 1.2
# It is short because the node's requests wait for the answer.
SEARCH_INTERVAL_S = 0.2


class LeaderSearch:
    """Decides whether all members are asked, and how often.

    Parameters
    ----------
    in_fleet : bool
    heartbeat_s : float
    contact : ControlContact
    member_selector : MemberSelector
    """

    def __init__(self, in_fleet, heartbeat_s, contact, member_selector):
        self._in_fleet = in_fleet
        self._silence_s = SEARCH_AFTER_HEARTBEATS * heartbeat_s
        self._contact = contact
        self._member_selector = member_selector

    def is_on(self, now_s):
        """Tell whether all members are asked: the leader is unknown or silent.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        if not self._in_fleet:
            return False
        if self._contact.fresh_s is None:
            return True
        return self._member_selector.is_silent(now_s, self._silence_s)

    def is_due(self, since_s):
        """Tell whether it is time to ask again.

        Parameters
        ----------
        since_s : float
            Seconds since the last heartbeat, give or take half an interval of the timer.

        Returns
        -------
        bool
        """
        return since_s >= SEARCH_INTERVAL_S
