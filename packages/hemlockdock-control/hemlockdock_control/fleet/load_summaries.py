"""Choose the endpoint loads of the next summary that the leader sends to entries."""

import logging
from dataclasses import dataclass

import msgspec

from hemlockdock_core.messages import (
    SUMMARY_INTERVAL_S,
    EndpointLoad,
    LoadSummary,
    load_key,
)
from hemlockdock_core.metrics import COUNTERS, GAUGES

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
# What control sends a node stays under 2 KB a second; half of that is left for everything else.
BYTES_PER_S = 1_000
# Frame, link and TCP headers.
OVERHEAD_BYTES = 100
# Some 20 loads of 13 to 16 bytes.
MAX_LOADS_BYTES = round(BYTES_PER_S * SUMMARY_INTERVAL_S) - OVERHEAD_BYTES
MAX_PERCENT = 999
MAX_SPEED_MILLI = 65_535


@dataclass(frozen=True, slots=True)
class SentLoad:
    """The load of an endpoint that was last sent to entries.

    Attributes
    ----------
    requests : int
        Running and waiting requests.
    sent_s : float
    """

    requests: int
    sent_s: float


class LoadSummaries:
    """Decide which loads are in the next summary: those that changed most, and the oldest.

    All entries are sent the same summary. This handles up to about 50 endpoints whose loads all
    change within a second; of more, each is told less often.

    Parameters
    ----------
    fleet : FleetSection
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._sent_by_id = {}
        self._was_shared = False

    def clear(self):
        """Discard what was sent, because another member may have led in the meantime."""
        self._sent_by_id = {}

    def is_shared(self, are_capacities_uneven):
        """Return whether entries are told loads.

        Parameters
        ----------
        are_capacities_uneven : bool
            Whether the entries state different capacities.

        Returns
        -------
        bool
        """
        is_shared = self._fleet.share_load == "always"
        if self._fleet.share_load == "uneven":
            is_shared = are_capacities_uneven
        if is_shared != self._was_shared:
            reason = f"share_load is {self._fleet.share_load}"
            if self._fleet.share_load == "uneven":
                state = "uneven" if are_capacities_uneven else "even"
                reason += f", capacities of entries are {state}"
            message = "load sharing on" if is_shared else "load sharing off"
            logger.info(message, extra={"reason": reason})
        self._was_shared = is_shared
        return is_shared

    def next_summary(self, registry, now_s):
        """Return the next summary for all entries, or None if there is no load to tell.

        Parameters
        ----------
        registry : EndpointRegistry
        now_s : float

        Returns
        -------
        LoadSummary or None
        """
        reports_by_id = self._answering(registry, now_s)
        for endpoint_id in list(self._sent_by_id):
            if endpoint_id not in reports_by_id:
                del self._sent_by_id[endpoint_id]
        ranked = sorted(
            reports_by_id,
            key=lambda endpoint_id: self._rank(endpoint_id, reports_by_id[endpoint_id], now_s),
            reverse=True,
        )
        loads = []
        size = 0
        for endpoint_id in ranked:
            report = reports_by_id[endpoint_id]
            load = _load(endpoint_id, report, now_s)
            size += len(msgspec.msgpack.encode(load))
            if size > MAX_LOADS_BYTES:
                break
            loads.append(load)
            self._sent_by_id[endpoint_id] = SentLoad(_requests(report), now_s)
        if not loads:
            return None
        COUNTERS.increment("control_loads_shared", len(loads))
        GAUGES.set("control_loads_oldest_seconds", self._oldest_s(now_s))
        return LoadSummary(tuple(loads))

    def _answering(self, registry, now_s):
        reports_by_id = {}
        for listed in (registry.listed_by_id or {}).values():
            report = registry.current_report(listed.endpoint_id, listed.address, now_s)
            if report is not None and report.body.answers:
                reports_by_id[listed.endpoint_id] = report
        return reports_by_id

    def _rank(self, endpoint_id, report, now_s):
        sent = self._sent_by_id.get(endpoint_id)
        if sent is None:
            return float("inf")
        # An unchanged load counts after one interval like one that has changed by a request.
        age = (now_s - sent.sent_s) / SUMMARY_INTERVAL_S
        return abs(_requests(report) - sent.requests) + age

    def _oldest_s(self, now_s):
        return max(now_s - sent.sent_s for sent in self._sent_by_id.values())


def _requests(report):
    return report.body.report.running + report.body.report.waiting


def _load(endpoint_id, report, now_s):
    engine = report.body.report
    used_percent = round(100 * engine.cache_used_tokens / max(1, engine.cache_tokens))
    speed_milli = round((report.body.speed or 0.0) * 1_000)
    return EndpointLoad(
        load_key(endpoint_id),
        engine.running,
        engine.waiting,
        min(MAX_PERCENT, used_percent),
        min(MAX_SPEED_MILLI, speed_milli),
        round((now_s - report.received_s) * MS_PER_S),
    )
