"""Manifest section for a request class."""

from enum import StrEnum

from pydantic import Field

from hemlockdock_core.manifest.base import ManifestPart
from hemlockdock_core.names import Name


class ClassKind(StrEnum):
    """How requests of a class are handled."""

    LIVE = "live"
    SHORT = "short"
    JOB = "job"
    ONCE = "once"
    LOOKUP = "lookup"


class RequestClass(ManifestPart):
    """A class of requests that are handled alike.

    Attributes
    ----------
    name : str
    kind : ClassKind
    deadline_ms : int
        Time from admission to the last byte of the response, or to the first one for ``live``.
    repeatable : bool
        Whether a request may run more than once.
    priority : int
        From 0 to 100; higher values take precedence.
    retention_s : int
        How long run-once records and job results are kept.
    """

    name: Name
    kind: ClassKind
    deadline_ms: int = Field(gt=0, le=7 * 86_400_000)
    repeatable: bool = True
    priority: int = Field(default=50, ge=0, le=100)
    retention_s: int = Field(default=172_800, gt=0, le=90 * 86_400)
