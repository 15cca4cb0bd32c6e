"""Manifest section for a group of endpoints."""

from enum import StrEnum

from hemlockdock_core.manifest.base import ManifestPart
from hemlockdock_core.names import Name


class Fencing(StrEnum):
    """How an engine handles an order with an outdated fencing token."""

    REFUSES_OLD = "refuses_old"
    IGNORED = "ignored"


class EndpointGroup(ManifestPart):
    """A group of endpoints of the same kind.

    Attributes
    ----------
    name : str
    fencing : Fencing
    """

    name: Name
    fencing: Fencing
