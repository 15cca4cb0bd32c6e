"""The mailbox and the description of this process's node."""

from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import NODE_CODEC, NodeInfo
from hemlockdock_core.wall_clock import wall_ms


def open_local_transport(reactor, settings, on_frame, tls):
    """Open the mailbox of this process's node, with the start time as incarnation.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    on_frame : callable
        Takes a Frame.
    tls : LinkTls or None

    Returns
    -------
    MessageTransport
    """
    return MessageTransport(
        reactor,
        settings.process.node_id,
        wall_ms(),
        NODE_CODEC,
        settings.listen.links,
        on_frame,
        tls,
        settings.listen.advertised_links,
    )


def local_node_info(settings, role, address, http_address="", group="", memory_mb=0):
    """Return the description of the node that is configured in the settings.

    Parameters
    ----------
    settings : Settings
    role : str
    address : str
        Address of its mailbox.
    http_address, group : str, optional
    memory_mb : int, optional

    Returns
    -------
    NodeInfo
    """
    process = settings.process
    return NodeInfo(
        process.node_id,
        role,
        process.host,
        process.failure_domain,
        address,
        http_address,
        group,
        memory_mb,
        process.cores * (process.cpu_share or 1.0),
        process.memory_mb,
        process.link_mbps,
    )
