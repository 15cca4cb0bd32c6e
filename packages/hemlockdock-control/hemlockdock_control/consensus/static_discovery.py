"""Discovery among the members that are listed in the settings."""

import logging

from hemlockdock_control.consensus.configuration import Configuration
from hemlockdock_control.consensus.formation import Formation, FormationOutcome
from hemlockdock_control.consensus.messages import Hello
from hemlockdock_control.storage.errors import EmptiedFolderError
from hemlockdock_control.storage.identity import MembershipOrigin

logger = logging.getLogger(__name__)

HELLOS_PER_ELECTION = 2


class StaticDiscovery:
    """Exchanges hellos with the listed members until this one is part of the configuration.

    Parameters
    ----------
    settings : Settings
    storage : MemberStorage
    links : PeerLinks
    on_standing : callable
        Called without arguments once this member's standing is known and durable.

    Attributes
    ----------
    hello_by_id : dict of str to Hello
        Latest hello of each member that is not in the configuration.
    refusal : EmptiedFolderError or None
        Set if this member's folder was emptied after it had joined the cluster.
    """

    def __init__(self, settings, storage, links, on_standing):
        self.hello_by_id = {}
        self.refusal = None
        self._member_id = settings.process.node_id
        self._peer_ids = [m.member_id for m in settings.members if m.member_id != self._member_id]
        self._interval_ms = settings.control.election_ms / HELLOS_PER_ELECTION
        self._storage = storage
        self._links = links
        self._on_standing = on_standing
        self._formation = Formation(storage.identity, settings.members)
        self._next_hello_ms = 0.0

    @property
    def is_forming(self):
        """Return whether it is still unknown how this member enters the cluster."""
        return self._storage.identity.standing is MembershipOrigin.FRESH

    def tick(self, configuration, now_ms):
        """Send hellos if they are due.

        Parameters
        ----------
        configuration : Configuration
            Latest one known here.
        now_ms : float
        """
        member = configuration.find(self._member_id)
        if member is not None and member.folder_id != self._storage.identity.folder_id:
            self._reject_emptied_folder()
        if member is not None or now_ms < self._next_hello_ms:
            return
        self._next_hello_ms = now_ms + self._interval_ms
        for peer_id in self._peer_ids:
            self._links.send(peer_id, self._make_hello(want_reply=True))
        self._try_form()

    def handle_hello(self, sender, hello, configuration):
        """Process a hello from another member.

        Parameters
        ----------
        sender : str
        hello : Hello
        configuration : Configuration
        """
        if hello.cluster != self._storage.identity.cluster:
            return
        if configuration.find(sender) is None:
            self.hello_by_id[sender] = hello
            self._links.update_address(sender, hello.address)
        if hello.want_reply:
            self._links.send(sender, self._make_hello(want_reply=False))
        if self.is_forming:
            self._formation.record_hello(sender, hello)
            self._try_form()

    def _make_hello(self, want_reply):
        identity = self._storage.identity
        founders = self._formation.configured_members() if self.is_forming else identity.founders
        return Hello(
            identity.cluster,
            identity.folder_id,
            self._links.address,
            identity.standing,
            founders,
            want_reply,
        )

    def _try_form(self):
        if not self.is_forming or self.refusal is not None:
            return
        outcome = self._formation.outcome()
        if outcome is FormationOutcome.REFUSED:
            self._reject_emptied_folder()
        if outcome is FormationOutcome.FOUNDED:
            self._set_standing(MembershipOrigin.FOUNDER, self._formation.founders())
        if outcome is FormationOutcome.JOINING:
            self._set_standing(MembershipOrigin.JOINER, Configuration())

    def _set_standing(self, standing, founders):
        self._storage.set_origin(standing, founders)
        logger.info("cluster membership determined", extra={"standing": standing.value})
        self._on_standing()

    def _reject_emptied_folder(self):
        if self.refusal is not None:
            return
        self.refusal = EmptiedFolderError(self._member_id)
        logger.error("data folder was emptied after joining", extra={"problem": str(self.refusal)})
