"""Findings of a review of a route manifest."""

from dataclasses import dataclass
from enum import StrEnum


class FindingLevel(StrEnum):
    """How much a finding matters."""

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding; it never contains a customer's key or its digest.

    Attributes
    ----------
    level : FindingLevel
        Control refuses a manifest with errors. Warnings may be intended.
    path : str
        Path of the field in the manifest, such as ``routes[3].prefix``, or for a difference the
        row, such as ``customer/fonts``.
    message : str
    """

    level: FindingLevel
    path: str
    message: str

    def __str__(self):
        return f"{self.level}: {self.path}: {self.message}"
