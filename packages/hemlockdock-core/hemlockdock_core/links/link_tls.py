"""Give links the keys for mutual TLS."""

from pathlib import Path

import pynng

from hemlockdock_core.addresses import link_ip

TLS_SCHEME = "tls+tcp://"


class LinkTls:
    """Make TLS configurations by which both ends of a link prove who they are.

    Parameters
    ----------
    certificate : str
        PEM file with this process's certificate and key.
    authority : str
        PEM file with the authority that signs all processes' certificates.
    """

    def __init__(self, certificate, authority):
        self._certificate = Path(certificate)
        self._authority = Path(authority)

    @classmethod
    def of(cls, settings):
        """Return the keys that settings name.

        Parameters
        ----------
        settings : hemlockdock_core.settings.Settings

        Returns
        -------
        LinkTls or None
            None where links are plain TCP.
        """
        if not settings.tls.certificate:
            return None
        return cls(settings.tls.certificate, settings.tls.authority)

    def server_config(self):
        """Return the configuration of a listening socket.

        Returns
        -------
        pynng.TLSConfig
        """
        return self._config(pynng.TLSConfig.MODE_SERVER)

    def client_config(self, address):
        """Return the configuration of a dialling socket.

        The far end's certificate has to name the IP number that is dialled.

        Parameters
        ----------
        address : str
            Such as ``tls+tcp://127.0.0.1:7001``.

        Returns
        -------
        pynng.TLSConfig
        """
        return self._config(pynng.TLSConfig.MODE_CLIENT, link_ip(address))

    def _config(self, mode, server_name=None):
        return pynng.TLSConfig(
            mode,
            server_name=server_name,
            # Without this the far end could leave out its certificate.
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
            ca_files=[str(self._authority)],
            cert_key_file=str(self._certificate),
        )


def check_scheme(address, tls):
    """Refuse an address whose scheme does not fit the keys.

    Parameters
    ----------
    address : str
    tls : LinkTls or None

    Raises
    ------
    ValueError
        Where a plain address is used although there are keys, or the other way round.
    """
    if address.startswith(TLS_SCHEME) != (tls is not None):
        expected = TLS_SCHEME if tls is not None else "tcp://"
        raise ValueError(f"expected {expected}ip:port, got {address!r}")
