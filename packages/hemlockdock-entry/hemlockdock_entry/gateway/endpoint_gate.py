"""Track what endpoints asked for, and decide whether a request may be sent to one."""

import logging

from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.gateway.response_check import MISDIRECTED_REQUEST, RETRY_AFTER
from hemlockdock_entry.retry_after import requested_pause_s

logger = logging.getLogger(__name__)


class EndpointGate:
    """What endpoints asked for: no new work, no requests for a while, or fewer per second.

    It is checked twice for each request: when it is dispatched, and when it is written, as
    connections are opened and adapters are loaded in between.

    Parameters
    ----------
    gateway : Gateway
    """

    def __init__(self, gateway):
        self._gateway = gateway

    def is_closed(self, endpoint_id):
        """Return whether an endpoint takes no request at all now.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        bool
            True if it leaves, is gone, has asked for a pause, or may have crashed just now.
        """
        row = self._gateway.endpoint_row(endpoint_id)
        if row is None or self._gateway.endpoints.has_left(row):
            return True
        if self._gateway.quarantine.watch.is_in_doubt(endpoint_id):
            return True
        return self._gateway.pauses.is_paused(endpoint_id)

    def may_send(self, endpoint_id, permit):
        """Return whether a request may be written to an endpoint now.

        Parameters
        ----------
        endpoint_id : str
        permit : Permit or None

        Returns
        -------
        bool
        """
        if self.is_closed(endpoint_id):
            return False
        return self._gateway.permits.may_send(endpoint_id, permit)

    def record_response(self, endpoint_id, head, sent_s):
        """Record what an endpoint asks for in a response.

        Parameters
        ----------
        endpoint_id : str
        head : ResponseHead
        sent_s : float
            Time at which the request was sent.
        """
        if head.value(self._gateway.headers.leaving):
            self._record_leaving(endpoint_id)
        # Another process may answer so for the one that the request was meant for.
        if head.status != MISDIRECTED_REQUEST:
            self._gateway.endpoint_limits.observe(endpoint_id, head, sent_s)
        pause_s = requested_pause_s(head.status, head.value(RETRY_AFTER))
        if pause_s:
            self._gateway.pauses.begin(endpoint_id, pause_s)

    def record_sent(self, endpoint_id):
        """Record that a request is sent to an endpoint.

        Parameters
        ----------
        endpoint_id : str
        """
        self._gateway.endpoint_limits.record_sent(endpoint_id)
        self._gateway.load_view.record_sent(endpoint_id, self._gateway.clock.seconds())

    def record_ended(self, endpoint_try):
        """Record that an attempt has ended, and give back its permit if it was not sent.

        Parameters
        ----------
        endpoint_try : EndpointTry
        """
        if not endpoint_try.was_sent:
            self._gateway.permits.give_back(endpoint_try.permit)
        has_run = endpoint_try.was_sent and endpoint_try.outcome is None
        sent_s = endpoint_try.sent_s if has_run else None
        now_s = self._gateway.clock.seconds()
        self._gateway.load_view.record_ended(endpoint_try.row, sent_s, now_s)

    def record_full(self, endpoint_id, pause_s):
        """Record that an endpoint had no capacity.

        Parameters
        ----------
        endpoint_id : str
        pause_s : float
            Time for which it is avoided.
        """
        now_s = self._gateway.clock.seconds()
        self._gateway.health.for_endpoint(endpoint_id).record_full(now_s, pause_s)
        self._gateway.load_view.record_rejected(endpoint_id, now_s)

    def forget(self, endpoint_id):
        """Forget what an endpoint asked for, because its process has ended.

        Parameters
        ----------
        endpoint_id : str
        """
        self._gateway.endpoints.mark_ended(endpoint_id)
        self._gateway.endpoint_limits.forget(endpoint_id)
        self._gateway.pauses.forget(endpoint_id)

    def _record_leaving(self, endpoint_id):
        if self._gateway.endpoints.mark_leaving(endpoint_id):
            COUNTERS.increment("gateway_endpoints_leaving")
            logger.info("endpoint announces that it leaves", extra={"endpoint": endpoint_id})
            self._gateway.model_queue.table_changed()
