"""Manifest section for the weights of the placement policy."""

from datetime import date

from pydantic import Field

from hemlockdock_core.manifest.base import ManifestPart


class PolicyWeights(ManifestPart):
    """Trade-off between tail cold-start latency and idle accelerator hours.

    Attributes
    ----------
    tail_cold_start : float
        Weight of tail latency, from 0 (only idle hours count) to 1 (only tail latency counts).
    credits_expire : datetime.date or None
        Date on which unused credits expire.
    """

    tail_cold_start: float = Field(default=0.5, ge=0.0, le=1.0)
    credits_expire: date | None = None
