"""Choose which control member a node talks to."""

import zlib


class MemberChoice:
    """Choose one member and move on when it goes silent.

    Nodes start at different members, so that watchers are spread evenly.

    Parameters
    ----------
    members : list of MemberAddress
    node_id : str
    silence_limit_s : float
        Silence after which the next member is chosen.
    now_s : float
    """

    def __init__(self, members, node_id, silence_limit_s, now_s):
        self._members = members
        self._index = zlib.crc32(node_id.encode()) % len(members)
        self._silence_limit_s = silence_limit_s
        self._heard_s = now_s

    @property
    def current(self):
        """Return the chosen MemberAddress."""
        return self._members[self._index]

    def heard(self, sender, now_s):
        """Note a frame from a member.

        Parameters
        ----------
        sender : str
            Member id.
        now_s : float
        """
        if sender == self.current.member_id:
            self._heard_s = now_s

    def move_on(self, now_s):
        """Choose the next member.

        Parameters
        ----------
        now_s : float
        """
        self._index = (self._index + 1) % len(self._members)
        self._heard_s = now_s

    def check(self, now_s):
        """Move on if the chosen member has been silent for too long.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
            Whether another member was chosen.
        """
        if now_s - self._heard_s <= self._silence_limit_s:
            return False
        self.move_on(now_s)
        return True
