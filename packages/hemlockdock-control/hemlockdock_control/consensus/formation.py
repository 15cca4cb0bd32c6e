"""Bootstrap of a cluster whose members are listed in the settings.

A member with an unused folder founds the cluster once it has received a hello from every listed
member, each with an unused folder or with a list of founders that includes this member's folder.
A member that discovers a cluster without it joins as a non-voter. A member whose folder was
emptied after the cluster was founded has lost its votes and is refused.
"""

from enum import Enum

from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.consensus.messages import Hello
from hemlockdock_control.storage.identity import MembershipOrigin


class FormationOutcome(Enum):
    """The result of cluster formation, as far as it is known."""

    WAITING = "waiting"
    FOUNDED = "founded"
    JOINING = "joining"
    REFUSED = "refused"


class Formation:
    """Derives from the hellos of other members how this member enters the cluster.

    Parameters
    ----------
    identity : Identity
    addresses : list of MemberAddress
        All members listed in the settings.
    """

    def __init__(self, identity, addresses):
        self._identity = identity
        self._addresses = addresses
        self._hello_by_id = {}

    def record_hello(self, sender, hello):
        """Record the latest hello of another member.

        Parameters
        ----------
        sender : str
        hello : Hello
        """
        is_configured = any(address.member_id == sender for address in self._addresses)
        if is_configured and hello.cluster == self._identity.cluster:
            self._hello_by_id[sender] = hello

    def configured_members(self):
        """Return the members listed in the settings, without their folder ids.

        Returns
        -------
        Configuration
        """
        members = [Member(a.member_id, "", a.peer_address, True) for a in self._addresses]
        return Configuration(tuple(members))

    def outcome(self):
        """Return the result as far as it is known.

        Returns
        -------
        FormationOutcome
        """
        outcomes = [self._evaluate(hello) for hello in self._hello_by_id.values()]
        for found in (FormationOutcome.REFUSED, FormationOutcome.JOINING):
            if found in outcomes:
                return found
        if FormationOutcome.WAITING in outcomes:
            return FormationOutcome.WAITING
        for address in self._addresses:
            if address.member_id == self._identity.member_id:
                continue
            if address.member_id not in self._hello_by_id:
                return FormationOutcome.WAITING
        return FormationOutcome.FOUNDED

    def founders(self):
        """Return the founding members; valid once the outcome is FOUNDED.

        Returns
        -------
        Configuration
        """
        for hello in self._hello_by_id.values():
            if hello.standing is MembershipOrigin.FOUNDER:
                return hello.founders
        members = []
        for address in self._addresses:
            folder_id = self._folder_id(address.member_id)
            members.append(Member(address.member_id, folder_id, address.peer_address, True))
        return Configuration(tuple(members))

    def _folder_id(self, member_id):
        if member_id == self._identity.member_id:
            return self._identity.folder_id
        return self._hello_by_id[member_id].folder_id

    def _evaluate(self, hello: Hello):
        if hello.standing is MembershipOrigin.FRESH:
            # Members whose settings list different founders would form two clusters.
            agrees = set(hello.founders.voter_ids) == set(self.configured_members().voter_ids)
            return FormationOutcome.FOUNDED if agrees else FormationOutcome.WAITING
        if hello.standing is MembershipOrigin.JOINER:
            return FormationOutcome.JOINING
        member = hello.founders.find(self._identity.member_id)
        if member is None:
            return FormationOutcome.JOINING
        if member.folder_id != self._identity.folder_id:
            return FormationOutcome.REFUSED
        return FormationOutcome.FOUNDED
