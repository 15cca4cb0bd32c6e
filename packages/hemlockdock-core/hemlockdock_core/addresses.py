"""Take addresses apart."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """Hold where a socket listens or is dialled.

    Attributes
    ----------
    host : str
        IP number, without brackets.
    port : int
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text):
        """Take ``ip:port`` apart.

        Parameters
        ----------
        text : str
            Checked already.

        Returns
        -------
        SocketAddress
        """
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))


def link_ip(address):
    """Return the IP number of a link's address.

    Parameters
    ----------
    address : str
        Such as ``tcp://127.0.0.1:7001``.

    Returns
    -------
    str
    """
    return address.partition("://")[2].rpartition(":")[0].strip("[]")
