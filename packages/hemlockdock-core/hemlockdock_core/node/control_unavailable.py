"""The error for a proposal that control did not answer."""


class ControlUnavailableError(Exception):
    """A proposal whose outcome is unknown: it may or may not have been committed."""
