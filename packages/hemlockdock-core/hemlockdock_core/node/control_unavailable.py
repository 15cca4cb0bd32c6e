"""Report that control gave no answer in time."""


class ControlUnavailableError(Exception):
    """Raise where a proposal's outcome is unknown: it may or may not be committed."""
