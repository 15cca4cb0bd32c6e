"""All settings of one process."""

from pathlib import Path

from pydantic import Field

from hemlockdock_core.settings.clients_section import ClientsSection
from hemlockdock_core.settings.member_address import MemberAddress
from hemlockdock_core.settings.sections import (
    AgentSection,
    ControlSection,
    EntrySection,
    FencingSetting,
    FleetSection,
    ListenSection,
    MembershipSection,
    ProcessSection,
    Role,
    Section,
    StoreSection,
    TlsSection,
)


class Settings(Section):
    """All settings of one process, passed as a whole to its components.

    Attributes
    ----------
    process : ProcessSection
    listen : ListenSection
    control : ControlSection
    membership : MembershipSection
    entry : EntrySection
    agent : AgentSection
    store : StoreSection
    tls : TlsSection
    fleet : FleetSection
    clients : ClientsSection
    """

    process: ProcessSection
    listen: ListenSection = Field(default_factory=ListenSection)
    control: ControlSection = Field(default_factory=ControlSection)
    membership: MembershipSection = Field(default_factory=MembershipSection)
    entry: EntrySection = Field(default_factory=EntrySection)
    agent: AgentSection = Field(default_factory=AgentSection)
    store: StoreSection = Field(default_factory=StoreSection)
    tls: TlsSection = Field(default_factory=TlsSection)
    fleet: FleetSection = Field(default_factory=FleetSection)
    clients: ClientsSection = Field(default_factory=ClientsSection)

    @property
    def members(self):
        """Return the MemberAddresses of the control members or, in a fleet, of the seeds."""
        if self.in_fleet:
            return [self.seed_address(text) for text in self.fleet.seeds]
        return [MemberAddress.parse(text) for text in self.control.members]

    @property
    def in_fleet(self):
        """Tell whether the process is part of a fleet."""
        return bool(self.fleet.seeds)

    def seed_address(self, text):
        """Return the address of the control member with a given operators' HTTP address.

        Parameters
        ----------
        text : str
            ``ip:port``, or only the IP address.

        Returns
        -------
        MemberAddress
            With the IP address as id.
        """
        ip = text.partition(":")[0]
        node_address = f"tcp://{ip}:{self.fleet.node_port}"
        return MemberAddress(ip, node_address, f"tcp://{ip}:{self.fleet.peer_port}")

    def has_role(self, role):
        """Tell whether the process has a role.

        Parameters
        ----------
        role : Role

        Returns
        -------
        bool
        """
        return role in self.process.roles

    def conflicts(self):
        """Yield (section, key, expected) for each conflict between keys."""
        roles = self.process.roles
        if len(set(roles)) != len(roles):
            yield "process", "roles", "each role once"
        if Role.AGENT in roles and len(set(roles)) > 1:
            yield "process", "roles", "agent alone, since an endpoint host has one process slot"
        if self.in_fleet:
            yield from self._fleet_conflicts()
            yield from self._folder_conflicts()
            yield from self._tls_conflicts()
            return
        if Role.AGENT in roles and not self.agent.engine_url:
            yield "agent", "engine_url", "the engine's URL, since roles has agent"
        yield from self._timeout_conflicts()
        yield from self._member_conflicts()
        yield from self._folder_conflicts()
        yield from self._tls_conflicts()

    def _fleet_conflicts(self):
        if not self.listen.links.startswith("tcp://"):
            yield "listen", "links", "tcp://ip:port, since the process is part of a fleet"
        if self.has_role(Role.AGENT) and not self.fleet.engine:
            yield "fleet", "engine", "ip:port of the engine, since roles has agent"
        if self.has_role(Role.CONTROL) and not self.fleet.directory:
            yield "fleet", "directory", "ip:port of the directory, since roles has control"
        if self.has_role(Role.ENTRY) and not self.listen.ready:
            yield "listen", "ready", "ip:port, since roles has entry"

    def _timeout_conflicts(self):
        if Role.AGENT not in self.process.roles:
            return
        if self.agent.fencing is not FencingSetting.IGNORED:
            return
        # A restarted agent of an engine that ignores fencing waits for one order timeout before its
        # first order, and has to unload everything before control stops counting its replicas.
        limit_ms = self.membership.certain_after_ms // 2
        if self.agent.order_timeout_ms > limit_ms:
            expected = f"at most {limit_ms}, half of certain_after_ms, since fencing is ignored"
            yield "agent", "order_timeout_ms", expected

    def _member_conflicts(self):
        member_ids = []
        for text in self.control.members:
            try:
                member_ids.append(MemberAddress.parse(text).member_id)
            except ValueError as error:
                yield "control", "members", str(error)
        if not self.control.members:
            yield "control", "members", "at least one id@node-address@peer-address"
        if len(set(member_ids)) != len(member_ids):
            yield "control", "members", "each member id once"
        if self.has_role(Role.CONTROL) and self.process.node_id not in member_ids:
            yield "control", "members", f"{self.process.node_id!r} among them, since it is control"

    def _folder_conflicts(self):
        folder = self.process.data_folder
        if self.has_role(Role.CONTROL) and not folder:
            yield "process", "data_folder", "a folder, since roles has control"
            return
        if folder and not Path(folder).is_dir():
            yield "process", "data_folder", f"an existing folder, got {folder!r}"

    def _tls_conflicts(self):
        if bool(self.tls.certificate) != bool(self.tls.authority):
            yield "tls", "certificate", "certificate and authority both, or neither"
        for name in ("certificate", "authority"):
            path = getattr(self.tls, name)
            if path and not Path(path).is_file():
                yield "tls", name, f"an existing file, got {path!r}"
