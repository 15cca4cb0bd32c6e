"""Choose which control member a node talks to."""

import zlib

from hemlockdock_core.addresses import link_ip
from hemlockdock_core.settings.member_address import MemberAddress

# A leader that was just given up on isn't gone back to before another can be elected.
AVOIDED_S = 3.0


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
        self._seeds = list(members)
        self._avoided_until_s_by_address = {}

    @property
    def current(self):
        """Return the chosen MemberAddress."""
        return self._members[self._index]

    @property
    def all(self):
        """Return every MemberAddress that is known."""
        return list(self._members)

    def is_quiet(self, now_s, limit_s):
        """Tell whether the chosen member was not heard for a time.

        Parameters
        ----------
        now_s, limit_s : float

        Returns
        -------
        bool
        """
        return now_s - self._heard_s > limit_s

    def learn(self, node_addresses, leader_address, now_s):
        """Take in where the members and the leader are now; the leader is preferred.

        Parameters
        ----------
        node_addresses : list of str
        leader_address : str
            Empty where none is known.
        now_s : float

        Returns
        -------
        bool
            Whether another member is chosen now.
        """
        before = self.current
        members = [_member_at(address) for address in node_addresses]
        known = {member.node_address for member in members}
        members.extend(seed for seed in self._seeds if seed.node_address not in known)
        self._members = members
        self._index = _position(members, before.node_address)
        if not leader_address or self._is_avoided(leader_address, now_s):
            return False
        self._index = _position(members, leader_address)
        if self.current.node_address == before.node_address:
            return False
        self._heard_s = now_s
        return True

    def learn_seeds(self, seeds):
        """Take in newer seeds.

        Parameters
        ----------
        seeds : list of MemberAddress
        """
        known = {member.node_address for member in self._members}
        self._seeds = list(seeds)
        self._members.extend(seed for seed in seeds if seed.node_address not in known)

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
        self._avoided_until_s_by_address[self.current.node_address] = now_s + AVOIDED_S
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

    def _is_avoided(self, address, now_s):
        return self._avoided_until_s_by_address.get(address, 0.0) > now_s


def _member_at(node_address):
    return MemberAddress(link_ip(node_address), node_address, "")


def _position(members, node_address):
    for position, member in enumerate(members):
        if member.node_address == node_address:
            return position
    return 0
