"""Mutual TLS for links."""

from pathlib import Path

import pynng

from hemlockdock_core.addresses import link_ip

TLS_SCHEME = "tls+tcp://"


class LinkTls:
    """TLS configurations with which both ends of a link authenticate each other.

    Parameters
    ----------
    certificate : str
        PEM file with this process's certificate and key.
    authority : str
        PEM file with the CA certificate that signs all processes' certificates.
    """

    def __init__(self, certificate, authority):
        self._certificate = Path(certificate)
        self._authority = Path(authority)

    @classmethod
    def of(cls, settings):
        """Return the TLS configuration that is named in the settings.

        Parameters
        ----------
        settings : hemlockdock_core.settings.Settings

        Returns
        -------
        LinkTls or None
            None if links are plain TCP.
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

        The peer's certificate has to name the IP address that is dialled.

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
            # Without this setting a peer without a certificate would be accepted.
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
            ca_files=[str(self._authority)],
            cert_key_file=str(self._certificate),
        )


def check_scheme(address, tls):
    """Check that an address has the TLS scheme if and only if TLS is configured.

    Parameters
    ----------
    address : str
    tls : LinkTls or None

    Raises
    ------
    ValueError
        If a plain address is used although TLS is configured, or the other way round.
    """
    if address.startswith(TLS_SCHEME) != (tls is not None):
        expected = TLS_SCHEME if tls is not None else "tcp://"
        raise ValueError(f"expected {expected}ip:port, got {address!r}")
