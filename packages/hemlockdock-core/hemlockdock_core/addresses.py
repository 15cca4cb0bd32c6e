"""Parsing of socket and link addresses."""

from dataclasses import dataclass


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
