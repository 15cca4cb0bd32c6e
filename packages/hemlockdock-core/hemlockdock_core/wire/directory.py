"""Endpoint listings from the directory of a platform."""

import logging
from dataclasses import dataclass

from hemlockdock_core.addresses import is_socket_address
from hemlockdock_core.foreign import UndecodableError, split_list

logger = logging.getLogger(__name__)

MAX_SLOTS = 1_000_000
MAX_NAME_LENGTH = 256


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint listed in the directory.

    Attributes
    ----------
    endpoint_id : str
    pool : str
    address : str
        ``ip:port``.
    failure_domain : str
    slots : int
        Number of requests that it runs concurrently.
    leaving : bool
        Whether it accepts no new work.
    models : tuple of LoadedModel
    software_version : str
        Version of the endpoint's software, not of its models; empty if unknown. Versions are only
        compared for equality.
    """

    endpoint_id: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    models: tuple
    software_version: str = ""

    @property
    def problem(self):
        """Return which field names no endpoint that can be used; empty if there is none."""
        for name in ("endpoint_id", "pool"):
            text = getattr(self, name)
            if not text or len(text) > MAX_NAME_LENGTH or not text.isprintable():
                return name
        if not is_socket_address(self.address):
            return "address"
        return "" if 1 <= self.slots <= MAX_SLOTS else "slots"


@dataclass(frozen=True, slots=True)
class DirectoryPage:
    """A page of the directory.

    Attributes
    ----------
    endpoints : list of ListedEndpoint
    unreadable : int
        Number of invalid entries, which were skipped.
    next_page : str
        Token of the next page; empty on the last page.
    """

    endpoints: list
    unreadable: int
    next_page: str


def split_page(decode, data, name):
    """Return a page of the directory, whatever one of its entries looks like.

    Parameters
    ----------
    decode : callable
        Decodes a page, with undecoded entries.
    data : bytes
    name : bytes
        Member of the page with its entries.

    Returns
    -------
    tuple of (object, list of bytes)
        The page, and the text of each entry if the page had to be split; else None.

    Raises
    ------
    UndecodableError
        If there is no whole page.
    """
    try:
        return decode(data), None
    except UndecodableError:
        # Decoders also go through what they leave undecoded.
        rest, entries = split_list(data, name)
        return decode(rest), entries


def usable_endpoints(entries, decode):
    """Decode the entries of the directory; those that name no endpoint are left out.

    Parameters
    ----------
    entries : iterable of bytes
    decode : callable
        Returns a ListedEndpoint, or raises UndecodableError.

    Returns
    -------
    tuple of (list of ListedEndpoint, int)
        The endpoints, and the number of other entries.
    """
    endpoints = []
    unreadable = 0
    for entry in entries:
        try:
            listed = decode(entry)
        except UndecodableError as error:
            logger.debug("directory entry unreadable", extra={"problem": str(error)})
            unreadable += 1
            continue
        if listed.problem:
            logger.debug("directory entry unusable", extra={"field": listed.problem})
            unreadable += 1
            continue
        endpoints.append(listed)
    return endpoints, unreadable
