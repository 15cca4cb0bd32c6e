"""Parsing of socket and link addresses."""

import ipaddress
import re
from dataclasses import dataclass

MAX_PORT = 65_535
DIGITS = re.compile(r"[0-9]{1,5}", re.ASCII)


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """The address at which a socket listens or which it dials.

    Attributes
    ----------
    host : str
        IP address, without brackets.
    port : int
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text):
        """Parse ``ip:port``.

        Parameters
        ----------
        text : str
            Has to be valid already.

        Returns
        -------
        SocketAddress
        """
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))


def is_socket_address(text):
    """Tell whether a text is ``ip:port``, with brackets around an IPv6 address.

    Parameters
    ----------
    text : str

    Returns
    -------
    bool
    """
    host, _, port = text.rpartition(":")
    if not DIGITS.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return False
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    return (address.version == 6) == is_bracketed


def link_ip(address):
    """Return the IP address of a link address.

    Parameters
    ----------
    address : str
        Such as ``tcp://127.0.0.1:7001``.

    Returns
    -------
    str
    """
    return address.partition("://")[2].rpartition(":")[0].strip("[]")
