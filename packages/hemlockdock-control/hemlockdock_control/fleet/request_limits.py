"""Share the requests per second that an endpoint takes among the entries of a fleet."""

import logging
from collections import deque
from dataclasses import dataclass, field
from math import ceil

from hemlockdock_control.fleet.entry_roster import EntryRoster
from hemlockdock_control.fleet.permit_pacer import PermitPacer
from hemlockdock_core.messages import PermitOffer, PermitReply
from hemlockdock_core.metrics import COUNTERS, GAUGES
from hemlockdock_core.request_limit import effective_per_s, is_much_lower

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
# The routing table shows a new value of a limit no more often, unless it is much lower.
MIN_ROW_CHANGE_S = 1.0
# Period over which the use of a limit is shown.
USE_WINDOW_S = 4.0
LIMIT_GAUGE = "control_endpoint_limit_per_s"
ISSUED_GAUGE = "control_endpoint_permits_per_s"
# A limit lapses if no entry has asked for permits for this long: no response can lift it then.
UNASKED_LAPSE_S = 60.0
# An entry that asks for permits without need soon learns from the routing table that it has none.
UNKNOWN_WAIT_MS = 100


@dataclass(slots=True)
class EndpointLimit:
    """The limit of one endpoint, and the permits issued for it.

    Attributes
    ----------
    per_s : float
        As the endpoint named it last.
    row_per_s : float
        As the routing table shows it.
    row_changed_s : float
    pacer : PermitPacer
    asked_s : float
        Time at which an entry last asked for permits, or at which the limit was first named.
    issued_s : deque of float
        Times of the permits that were issued within ``USE_WINDOW_S``.
    """

    per_s: float
    row_per_s: float
    row_changed_s: float
    pacer: PermitPacer
    asked_s: float
    issued_s: deque = field(default_factory=deque)

    def issued_per_s(self, now_s):
        """Return how many permits per second were issued of late.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float
        """
        while self.issued_s and self.issued_s[0] <= now_s - USE_WINDOW_S:
            self.issued_s.popleft()
        return len(self.issued_s) / USE_WINDOW_S


class RequestLimits:
    """The limits of endpoints, kept while this member leads.

    This handles entries whose traffic is uneven: whoever has a request asks for a permit. What
    entries that are out of touch may send by themselves is not issued to others.

    Parameters
    ----------
    now_s : float

    Attributes
    ----------
    roster : EntryRoster
    """

    def __init__(self, now_s):
        self._shown_ids = set()
        self.clear(now_s)

    def clear(self, now_s):
        """Discard all limits: another member may have led in the meantime.

        Parameters
        ----------
        now_s : float
        """
        self.roster = EntryRoster(now_s)
        self._limit_by_id = {}
        self._adopted = False

    def adopt(self, rows, now_s):
        """Take over the limits that were recorded under earlier leaders, once.

        Parameters
        ----------
        rows : iterable of EndpointRow
        now_s : float
        """
        if self._adopted:
            return
        self._adopted = True
        for row in rows:
            if row.limit_per_s is not None and row.endpoint_id not in self._limit_by_id:
                self._add(row.endpoint_id, row.limit_per_s, now_s)

    def record(self, endpoint_id, per_s, now_s):
        """Record what an endpoint named.

        Parameters
        ----------
        endpoint_id : str
        per_s : float or None
            None if it named no limit any more.
        now_s : float
        """
        limit = self._limit_by_id.get(endpoint_id)
        if per_s is None:
            if limit is not None:
                del self._limit_by_id[endpoint_id]
                logger.info("limit lifted", extra={"endpoint": endpoint_id})
            return
        if limit is None:
            self._add(endpoint_id, per_s, now_s)
            logger.info("limit named", extra={"endpoint": endpoint_id, "per_s": per_s})
            return
        if is_much_lower(limit.per_s, per_s):
            limit.pacer = PermitPacer(now_s)
        limit.per_s = per_s

    def row_per_s(self, endpoint_id, now_s):
        """Return the limit for the routing table.

        Parameters
        ----------
        endpoint_id : str
        now_s : float

        Returns
        -------
        float or None
        """
        limit = self._limit_by_id.get(endpoint_id)
        if limit is None:
            return None
        if now_s - limit.asked_s >= UNASKED_LAPSE_S:
            self.record(endpoint_id, None, now_s)
            return None
        is_due = now_s - limit.row_changed_s >= MIN_ROW_CHANGE_S
        is_due = is_due or is_much_lower(limit.row_per_s, limit.per_s)
        if limit.row_per_s != limit.per_s and is_due:
            limit.row_per_s = limit.per_s
            limit.row_changed_s = now_s
            logger.info("limit changed", extra={"endpoint": endpoint_id, "per_s": limit.per_s})
        return limit.row_per_s

    def remove_absent(self, endpoint_ids):
        """Forget endpoints that no longer exist.

        Parameters
        ----------
        endpoint_ids : collection of str
            The existing endpoints.
        """
        for endpoint_id in list(self._limit_by_id):
            if endpoint_id not in endpoint_ids:
                del self._limit_by_id[endpoint_id]

    def issue(self, entry_id, request, now_s):
        """Answer an entry that asks for permits.

        Parameters
        ----------
        entry_id : str
        request : PermitRequest
        now_s : float

        Returns
        -------
        PermitReply
            Without permits if this leader knows of no limit.
        """
        self.roster.record_message(entry_id, now_s)
        self.roster.record_reported(request.entries)
        limit = self._limit_by_id.get(request.endpoint_id)
        if limit is not None:
            limit.asked_s = now_s
        offers = []
        for wait_ms in request.waits_ms:
            if limit is None:
                offers.append(PermitOffer(False, UNKNOWN_WAIT_MS, UNKNOWN_WAIT_MS))
                continue
            offers.append(self._offer(limit, wait_ms / MS_PER_S, now_s))
        return PermitReply(request.endpoint_id, request.number, tuple(offers))

    def issued_per_s(self, endpoint_id, now_s):
        """Return how many permits per second this leader has issued for an endpoint of late.

        Parameters
        ----------
        endpoint_id : str
        now_s : float

        Returns
        -------
        float or None
            None if this member does not know the limit as the leader.
        """
        limit = self._limit_by_id.get(endpoint_id)
        return None if limit is None else limit.issued_per_s(now_s)

    def record_use(self, now_s):
        """Update the gauges of all limits.

        Parameters
        ----------
        now_s : float
        """
        for endpoint_id in self._shown_ids - self._limit_by_id.keys():
            GAUGES.remove(LIMIT_GAUGE, endpoint=endpoint_id)
            GAUGES.remove(ISSUED_GAUGE, endpoint=endpoint_id)
        self._shown_ids = set(self._limit_by_id)
        for endpoint_id, limit in self._limit_by_id.items():
            GAUGES.set(LIMIT_GAUGE, limit.per_s, endpoint=endpoint_id)
            GAUGES.set(ISSUED_GAUGE, limit.issued_per_s(now_s), endpoint=endpoint_id)

    def give_back(self, message):
        """Take back permits that an entry did not use.

        Parameters
        ----------
        message : PermitReturn
        """
        limit = self._limit_by_id.get(message.endpoint_id)
        if limit is not None:
            limit.pacer.give_back(message.permits)

    def _offer(self, limit, longest_wait_s, now_s):
        per_s = self._issued_per_s(limit, now_s)
        valid_s = limit.pacer.book(longest_wait_s, per_s, now_s)
        if valid_s is not None:
            COUNTERS.increment("control_permits_issued")
            limit.issued_s.append(now_s)
            return PermitOffer(True, _ceil_ms(valid_s - now_s))
        COUNTERS.increment("control_permits_declined")
        next_ms = _ceil_ms(limit.pacer.next_s(per_s, now_s) - now_s)
        return_ms = _ceil_ms(limit.pacer.return_s(per_s, now_s) - now_s)
        return PermitOffer(False, next_ms, return_ms)

    def _add(self, endpoint_id, per_s, now_s):
        pacer = PermitPacer(now_s)
        self._limit_by_id[endpoint_id] = EndpointLimit(per_s, per_s, now_s, pacer, now_s)

    def _issued_per_s(self, limit, now_s):
        counts = self.roster.counts(now_s)
        return effective_per_s(limit.per_s) * (counts.total - counts.silent) / counts.total


def _ceil_ms(seconds):
    return ceil(seconds * MS_PER_S)
