"""A node's description for the control members."""

import msgspec


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
    """

    node_id: str
    role: str
    host: str
    failure_domain: str
    address: str
    http_address: str = ""
    group: str = ""
    memory_mb: int = 0
