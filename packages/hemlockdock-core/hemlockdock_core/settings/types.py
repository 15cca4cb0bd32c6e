"""Types that validate the values of settings."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, BeforeValidator

from hemlockdock_core.names import Name

LINK_SCHEMES = ("tcp", "tls+tcp")
MAX_PORT = 65_535


def check_host_port(value):
    """Check ``ip:port``.

    Parameters
    ----------
    value : str

    Returns
    -------
    str

    Raises
    ------
    ValueError
    """
    if value == "":
        return value
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"expected ip:port with an IP address, got {value!r}") from None
    if not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"expected a port from 0 to {MAX_PORT}, got {port!r}")
    return value


def check_link(value):
    """Check ``tcp://ip:port`` or ``tls+tcp://ip:port``.

    Parameters
    ----------
    value : str

    Returns
    -------
    str

    Raises
    ------
    ValueError
    """
    if value == "":
        return value
    scheme, separator, rest = value.partition("://")
    if not separator or scheme not in LINK_SCHEMES:
        raise ValueError(f"expected tcp://ip:port or tls+tcp://ip:port, got {value!r}")
    check_host_port(rest)
    return value


def split_list(value):
    """Split a comma-separated value.

    Parameters
    ----------
    value : str or list

    Returns
    -------
    list
    """
    if not isinstance(value, str):
        return value
    return [part.strip() for part in value.split(",") if part.strip()]


HostPort = Annotated[str, AfterValidator(check_host_port)]
LinkAddress = Annotated[str, AfterValidator(check_link)]
NameList = Annotated[list[Name], BeforeValidator(split_list)]
TextList = Annotated[list[str], BeforeValidator(split_list)]
