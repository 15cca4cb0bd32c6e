"""Selection of the control member that a node sends to."""

import zlib

from hemlockdock_core.addresses import link_ip
from hemlockdock_core.settings.member_address import MemberAddress

# A member that was dropped for silence is not selected again for this long, so that another leader
# can be elected meanwhile.
AVOID_MEMBER_S = 3.0
# Silence after which the next member is selected.
SILENCE_LIMIT_HEARTBEATS = 3


class MemberSelector:
    """Selects one control member, and the next one when it is silent.

    The initial member depends on the node id, which spreads the nodes evenly over the members.

    Parameters
    ----------
    members : list of MemberAddress
    node_id : str
    heartbeat_s : float
        Interval of the heartbeats to the selected member.
    now_s : float
    """

    def __init__(self, members, node_id, heartbeat_s, now_s):
        self._members = members
        self._index = zlib.crc32(node_id.encode()) % len(members)
        self._heartbeat_s = heartbeat_s
        self._last_frame_s = now_s
        self._ran_s = now_s
        self._seeds = list(members)
        self._reported_members = []
        self._avoided_until_s_by_address = {}

    @property
    def current(self):
        """Return the selected MemberAddress."""
        return self._members[self._index]

    @property
    def known_members(self):
        """Return all known MemberAddresses."""
        return list(self._members)

    @property
    def reported_members(self):
        """Return the MemberAddresses that control reported last; seeds may be none of them."""
        return list(self._reported_members)

    def is_silent(self, now_s, limit_s):
        """Tell whether the selected member has been silent for longer than a limit.

        Parameters
        ----------
        now_s, limit_s : float

        Returns
        -------
        bool
        """
        return now_s - self._last_frame_s > limit_s

    def update_members(self, node_addresses, leader_address, now_s):
        """Update the members' addresses and select the leader, if one is known.

        Parameters
        ----------
        node_addresses : list of str
        leader_address : str
            Empty if no leader is known.
        now_s : float

        Returns
        -------
        bool
            Whether another member was selected.
        """
        before = self.current
        members = [_member_address(address) for address in node_addresses]
        self._reported_members = list(members)
        known = {member.node_address for member in members}
        members.extend(seed for seed in self._seeds if seed.node_address not in known)
        self._members = members
        self._index = _index_of(members, before.node_address)
        if not leader_address or self._is_avoided(leader_address, now_s):
            return False
        self._index = _index_of(members, leader_address)
        if self.current.node_address == before.node_address:
            return False
        self._last_frame_s = now_s
        return True

    def update_seeds(self, seeds):
        """Replace the seeds and add the new ones to the known members.

        Parameters
        ----------
        seeds : list of MemberAddress
        """
        known = {member.node_address for member in self._members}
        self._seeds = list(seeds)
        self._members.extend(seed for seed in seeds if seed.node_address not in known)

    def record_frame(self, sender, now_s):
        """Restart the silence timer if a frame came from the selected member.

        Parameters
        ----------
        sender : str
            Member id.
        now_s : float
        """
        if sender == self.current.member_id:
            self._last_frame_s = now_s

    def note_run(self, now_s):
        """Note that this process runs; time for which it was paused is no silence of the member.

        Parameters
        ----------
        now_s : float
        """
        pause_s = now_s - self._ran_s - self._heartbeat_s
        self._ran_s = now_s
        if pause_s > 0.0:
            self._last_frame_s += pause_s

    def select_next(self, now_s):
        """Avoid the selected member for a while and select the next one.

        Parameters
        ----------
        now_s : float
        """
        self._avoided_until_s_by_address[self.current.node_address] = now_s + AVOID_MEMBER_S
        self._index = (self._index + 1) % len(self._members)
        self._last_frame_s = now_s

    def select_next_if_silent(self, now_s):
        """Select the next member if the selected one has been silent for too long.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
            Whether the next member was selected.
        """
        self.note_run(now_s)
        if now_s - self._last_frame_s <= SILENCE_LIMIT_HEARTBEATS * self._heartbeat_s:
            return False
        self.select_next(now_s)
        return True

    def _is_avoided(self, address, now_s):
        return self._avoided_until_s_by_address.get(address, 0.0) > now_s


def _member_address(node_address):
    return MemberAddress(link_ip(node_address), node_address, "")


def _index_of(members, node_address):
    for position, member in enumerate(members):
        if member.node_address == node_address:
            return position
    return 0
