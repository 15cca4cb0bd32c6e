"""Track whether an engine responds to the polls of its agent."""

import logging

logger = logging.getLogger(__name__)

# After this many failed polls in a row, the engine is reported as not responding.
MAX_FAILED_POLLS = 3


class EngineReachability:
    """Count failed polls of an engine, and log when it becomes unreachable or reachable again."""

    def __init__(self):
        self._failed_polls = 0

    @property
    def is_reachable(self):
        """Return whether the engine responds, apart from single failed polls."""
        return self._failed_polls < MAX_FAILED_POLLS

    def poll_failed(self):
        """Record a poll without a response."""
        self._failed_polls += 1
        if self._failed_polls == MAX_FAILED_POLLS:
            logger.info("engine unreachable", extra={"failed_polls": self._failed_polls})

    def poll_succeeded(self):
        """Record a poll with a response."""
        if not self.is_reachable:
            logger.info("engine reachable again", extra={"failed_polls": self._failed_polls})
        self._failed_polls = 0
