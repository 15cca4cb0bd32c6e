"""Views of all engines of a pool in one placement round."""

from hemlockdock_control.fleet.engine_view import EngineView
from hemlockdock_control.fleet.registry import REPORT_MAX_AGE_S

# An agent whose last report is older has probably lost its host, and with it what was being loaded.
SILENCE_S = 8.0


class EngineViews:
    """Views of a pool's engines, by whether they can be used.

    Parameters
    ----------
    pool : PoolRow
    rows : dict of str to EndpointRow
    registry : EndpointRegistry
    pending_by_id : dict of str to PendingChange
    now_s : float

    Attributes
    ----------
    available_by_id : dict of str to EngineView
        With those that are leaving and still take requests.
    unavailable_by_id : dict of str to EngineView
        Engines that are leaving or do not respond to their agents.
    silent_by_id : dict of str to EngineView
        Engines with loads from the store whose agents have not reported lately. An agent that is
        only slow to report, or cut off for a while, does not end the load.
    """

    def __init__(self, pool, rows, registry, pending_by_id, now_s):
        self._registry = registry
        self._pending_by_id = pending_by_id
        self._now_s = now_s
        self.available_by_id = {}
        self.unavailable_by_id = {}
        self.silent_by_id = {}
        for row in rows.values():
            if row.pool == pool.name:
                self._add(row)

    def all(self):
        """Return all views."""
        views = (self.available_by_id, self.unavailable_by_id, self.silent_by_id)
        return [view for by_id in views for view in by_id.values()]

    def _add(self, row):
        report = self._registry.current_report(row.endpoint_id, row.address, self._now_s)
        if report is None:
            self._add_if_loading(row)
            return
        is_available = report.body.answers and not row.leaving
        target = self.available_by_id if is_available else self.unavailable_by_id
        target[row.endpoint_id] = self._view(row, report)

    def _add_if_loading(self, row):
        report = self._registry.last_report(row.endpoint_id, row.address)
        if report is None or row.leaving or not report.body.answers:
            return
        if not REPORT_MAX_AGE_S < self._now_s - report.received_s <= SILENCE_S:
            return
        view = self._view(row, report)
        if view.coming_from_store:
            self.silent_by_id[row.endpoint_id] = view

    def _view(self, row, report):
        body = report.body
        changing_to = body.changing_to
        if not changing_to and body.report.busy and not body.change_number and row.arriving:
            # The agent has started anew while its engine goes on with the load.
            changing_to = row.arriving[0].name
        return EngineView(
            row.endpoint_id,
            report.agent_address,
            body.report,
            body.change_number,
            body.changing,
            body.facts_number,
            self._pending_by_id.get(row.endpoint_id),
            changing_to,
            row.limit_per_s is not None,
            row.leaving or row.retiring,
            self._usable_s(row, report),
        )

    def _usable_s(self, row, report):
        if not row.retiring:
            return 0.0
        return self._registry.departures.left_s(row.endpoint_id, report, self._now_s)
