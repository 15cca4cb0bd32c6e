"""A node's description for the control members."""

import msgspec

from hemlockdock_core.entry_capacity import EntryCapacity


class NodeInfo(msgspec.Struct, frozen=True, array_like=True):
    """Role, location and addresses of one node.

    Attributes
    ----------
    node_id : str
    role : str
        ``entry`` or ``agent``.
    host : str
    failure_domain : str
    address : str
        Mailbox address, such as ``tcp://127.0.0.1:7001``.
    http_address : str
        ``ip:port`` of its HTTP listener; empty if it has none.
    group : str
        Endpoint group of an agent's engine; empty for entries.
    memory_mb : int
        Accelerator memory of the endpoint, in MB; 0 for entries.
    cores, host_memory_mb, link_mbps : float
        Capacity of an entry, 0 for unknown; see `EntryCapacity`.
    """

    node_id: str
    role: str
    host: str
    failure_domain: str
    address: str
    http_address: str = ""
    group: str = ""
    memory_mb: int = 0
    cores: float = 0.0
    host_memory_mb: float = 0.0
    link_mbps: float = 0.0

    @property
    def capacity(self):
        """Return the EntryCapacity that the node states."""
        return EntryCapacity(self.cores, self.host_memory_mb, self.link_mbps)
