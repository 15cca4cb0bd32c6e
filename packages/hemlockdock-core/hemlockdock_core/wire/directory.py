"""Endpoint listings from the directory of a platform."""

from dataclasses import dataclass


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
