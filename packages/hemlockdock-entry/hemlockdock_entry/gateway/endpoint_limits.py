"""Know how many requests per second endpoints take from all entries together."""

import logging
from dataclasses import dataclass

from hemlockdock_core.messages import LimitNamed
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.gateway.named_limit import MalformedLimitError, named_limit_per_s

logger = logging.getLogger(__name__)

# An endpoint with a limit gets a request of each entry after this time, also if others cost less:
# only its responses tell when the limit is lifted.
CONFIRM_S = 5.0


@dataclass(slots=True)
class EndpointLimit:
    """The limit of one endpoint, as this entry knows it.

    Attributes
    ----------
    per_s : float
        Requests per second from all entries together.
    since_s : float
        Time at which this entry learned that the endpoint has a limit.
    checked_s : float
        Time at which it last named it, or at which a request was last sent to it.
    """

    per_s: float
    since_s: float
    checked_s: float


class EndpointLimits:
    """The limits that endpoints name in their responses, to this entry or to others.

    Parameters
    ----------
    gateway : Gateway
    on_change : callable
        Takes the id of an endpoint whose limit was named, changed or lifted, and the limit before
        and after; None for no limit.
    """

    def __init__(self, gateway, on_change):
        self._gateway = gateway
        self._on_change = on_change
        self._limit_by_id = {}
        self._listed_per_s_by_id = {}
        self._malformed_ids = set()

    def per_s(self, endpoint_id):
        """Return an endpoint's limit, or None if it has none.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        float or None
        """
        limit = self._limit_by_id.get(endpoint_id)
        return None if limit is None else limit.per_s

    def is_unconfirmed(self, endpoint_id):
        """Return whether an endpoint has a limit that was not confirmed lately.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        bool
        """
        limit = self._limit_by_id.get(endpoint_id)
        return limit is not None and self._gateway.clock.seconds() - limit.checked_s >= CONFIRM_S

    def record_sent(self, endpoint_id):
        """Record that a request is sent to an endpoint, whose response will tell of its limit.

        Parameters
        ----------
        endpoint_id : str
        """
        limit = self._limit_by_id.get(endpoint_id)
        if limit is not None:
            limit.checked_s = self._gateway.clock.seconds()

    def observe(self, endpoint_id, head, sent_s):
        """Note the limit that an endpoint names in a response, or that it no longer names one.

        Parameters
        ----------
        endpoint_id : str
        head : ResponseHead
        sent_s : float
            Time at which the request was sent.
        """
        names = self._gateway.headers
        try:
            per_s = named_limit_per_s(head, names)
        except MalformedLimitError as error:
            self._record_malformed(endpoint_id, error)
            return
        self._malformed_ids.discard(endpoint_id)
        limit = self._limit_by_id.get(endpoint_id)
        if per_s is None and limit is None:
            return
        if per_s is None:
            # Only the endpoint signs its responses. An older request says nothing of the limit.
            if sent_s > limit.since_s and head.value(names.signature):
                self._lift(endpoint_id)
                self._report(endpoint_id)
            return
        if limit is None or limit.per_s != per_s:
            self._name(endpoint_id, per_s)
            self._report(endpoint_id)

    def forget(self, endpoint_id):
        """Forget an endpoint's limit, because its process has ended.

        Parameters
        ----------
        endpoint_id : str
        """
        if endpoint_id in self._limit_by_id:
            self._lift(endpoint_id)
            self._report(endpoint_id)

    def update(self, row_by_id):
        """Apply changes of the limits in the routing table, which other entries learned.

        Parameters
        ----------
        row_by_id : dict of str to EndpointRow
        """
        for endpoint_id in list(self._limit_by_id):
            if endpoint_id not in row_by_id:
                del self._limit_by_id[endpoint_id]
        self._malformed_ids &= row_by_id.keys()
        before = self._listed_per_s_by_id
        self._listed_per_s_by_id = {}
        for endpoint_id, row in row_by_id.items():
            if row.limit_per_s is not None:
                self._listed_per_s_by_id[endpoint_id] = row.limit_per_s
            if before.get(endpoint_id) == row.limit_per_s:
                continue
            if row.limit_per_s is not None:
                self._name(endpoint_id, row.limit_per_s)
            elif endpoint_id in self._limit_by_id:
                self._lift(endpoint_id)

    def run_maintenance(self):
        """Report again what the routing table does not show, because reports may be lost."""
        for endpoint_id in self._limit_by_id.keys() ^ self._listed_per_s_by_id.keys():
            self._report(endpoint_id)

    def _record_malformed(self, endpoint_id, error):
        COUNTERS.increment("gateway_malformed_limits")
        if endpoint_id in self._malformed_ids:
            return
        self._malformed_ids.add(endpoint_id)
        logger.warning(
            "endpoint names a malformed limit",
            extra={"endpoint": endpoint_id, "problem": str(error)},
        )

    def _report(self, endpoint_id):
        if self._gateway.link.issues_permits:
            self._gateway.send_to_leader(LimitNamed(endpoint_id, self.per_s(endpoint_id)))

    def _name(self, endpoint_id, per_s):
        limit = self._limit_by_id.get(endpoint_id)
        if limit is not None and limit.per_s == per_s:
            return
        now_s = self._gateway.clock.seconds()
        since_s = now_s if limit is None else limit.since_s
        self._limit_by_id[endpoint_id] = EndpointLimit(per_s, since_s, now_s)
        COUNTERS.increment("gateway_endpoint_limits_named")
        logger.info("endpoint names a limit", extra={"endpoint": endpoint_id, "per_s": per_s})
        self._on_change(endpoint_id, None if limit is None else limit.per_s, per_s)

    def _lift(self, endpoint_id):
        limit = self._limit_by_id.pop(endpoint_id)
        COUNTERS.increment("gateway_endpoint_limits_lifted")
        logger.info("endpoint names no limit any more", extra={"endpoint": endpoint_id})
        self._on_change(endpoint_id, limit.per_s, None)
