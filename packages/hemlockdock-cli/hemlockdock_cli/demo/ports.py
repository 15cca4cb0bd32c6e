"""Find free TCP ports on loopback."""

import contextlib
import random
import socket

LOOPBACK = "127.0.0.1"
# Below the range from which the system assigns ephemeral ports to outgoing connections.
CANDIDATES = range(20_000, 32_000)


def free_ports(count):
    """Return ports that are not in use now.

    Parameters
    ----------
    count : int

    Returns
    -------
    list of int
    """
    ports = []
    for port in random.SystemRandom().sample(CANDIDATES, len(CANDIDATES)):
        if len(ports) == count:
            break
        with contextlib.closing(socket.socket()) as probe, contextlib.suppress(OSError):
            probe.bind((LOOPBACK, port))
            ports.append(port)
    return ports
