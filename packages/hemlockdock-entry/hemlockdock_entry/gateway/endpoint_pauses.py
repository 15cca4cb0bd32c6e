"""Remember which endpoints have asked to get no requests for a while."""

import logging

from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)


class EndpointPauses:
    """The pauses that endpoints asked for. They last also while an endpoint is not listed.

    Parameters
    ----------
    clock : twisted reactor
    """

    def __init__(self, clock):
        self._clock = clock
        self._until_s_by_id = {}

    def begin(self, endpoint_id, pause_s):
        """Record that an endpoint asked for a pause. A shorter one does not end a longer one.

        Parameters
        ----------
        endpoint_id : str
        pause_s : float
        """
        COUNTERS.increment("gateway_endpoint_pauses")
        logger.info(
            "endpoint asks for a pause",
            extra={"endpoint": endpoint_id, "seconds": round(pause_s, 3)},
        )
        until_s = self._clock.seconds() + pause_s
        self._until_s_by_id[endpoint_id] = max(until_s, self.until_s(endpoint_id))

    def until_s(self, endpoint_id):
        """Return when the pause of an endpoint ends, or has ended; 0 if there was none.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        float
        """
        return self._until_s_by_id.get(endpoint_id, 0.0)

    def is_paused(self, endpoint_id):
        """Return whether an endpoint's pause lasts.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        bool
        """
        return self.until_s(endpoint_id) > self._clock.seconds()

    def forget(self, endpoint_id):
        """Forget an endpoint's pause, because the process that asked for it has ended.

        Parameters
        ----------
        endpoint_id : str
        """
        self._until_s_by_id.pop(endpoint_id, None)

    def remove_expired(self):
        """Remove the pauses that have ended."""
        for endpoint_id in list(self._until_s_by_id):
            if not self.is_paused(endpoint_id):
                del self._until_s_by_id[endpoint_id]
