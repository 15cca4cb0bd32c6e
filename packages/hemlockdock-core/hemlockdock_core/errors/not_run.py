"""Knowledge of whether a refused request has run."""

from enum import StrEnum


class NotRun(StrEnum):
    """Whether a request is known not to have run."""

    TRUE = "true"
    FALSE = "false"
    UNKNOWN = "unknown"
