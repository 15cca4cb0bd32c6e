"""Find free loopback ports."""

import contextlib
import random
import socket

LOOPBACK = "127.0.0.1"
# Below the range from which the system gives ports to outgoing connections.
CANDIDATES = range(20_000, 32_000)


def free_ports(count):
    """Return ports that nothing listens at now.

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
