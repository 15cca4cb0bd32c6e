"""Weigh the two costs that the policy trades."""

from datetime import date

from pydantic import Field

from hemlockdock_core.manifest.base import ManifestPart


class PolicyWeights(ManifestPart):
    """Weigh tail cold start against idle accelerator hours.

    Attributes
    ----------
    tail_cold_start : float
        From 0 (only idle hours count) to 1 (only the tail counts).
    credits_expire : datetime.date or None
        Day on which unused credits end.
    """

    tail_cold_start: float = Field(default=0.5, ge=0.0, le=1.0)
    credits_expire: date | None = None
