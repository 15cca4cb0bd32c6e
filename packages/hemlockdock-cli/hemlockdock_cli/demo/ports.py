"""Find free loopback ports."""

import socket

LOOPBACK = "127.0.0.1"


def free_ports(count):
    """Return ports that nothing listens at now.

    Parameters
    ----------
    count : int

    Returns
    -------
    list of int
    """
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((LOOPBACK, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports
