"""Merge the directory and the agents' reports into the endpoint rows that entries route by."""

from dataclasses import dataclass
from functools import cached_property
from types import MappingProxyType

import msgspec

from hemlockdock_control.fleet.departures import Departures
from hemlockdock_control.fleet.former_rows import REPORT_MAX_AGE_S, FormerRows
from hemlockdock_control.fleet.host_weights import HostWeights
from hemlockdock_core.rows import ArrivingModel, EndpointRow, ResidentModel

MS_PER_S = 1_000


@dataclass(frozen=True)
class AgentReport:
    """The latest report of an agent.

    Attributes
    ----------
    agent_address : str
    incarnation : int
        Incarnation of the agent's process.
    body : EndpointReport
    received_s : float
        Time at which the report arrived.
    """

    agent_address: str
    incarnation: int
    body: object
    received_s: float

    @cached_property
    def on_host(self):
        """Return the models whose weights are on the host, sorted so that rows compare equal.

        The value is cached because rows are built far more often than reports arrive.
        """
        return tuple(sorted(self.body.report.on_host))

    @cached_property
    def on_host_disk(self):
        """Return the models whose weights the host keeps if the engine restarts, sorted."""
        return tuple(sorted(self.body.report.on_host_disk))


class EndpointRegistry:
    """Endpoints known from the directory and from agents, kept while this member leads.

    Parameters
    ----------
    fleet : FleetSection, optional

    Attributes
    ----------
    departures : Departures
    """

    def __init__(self, fleet=None):
        self.departures = Departures(fleet)
        self.clear(0.0)

    def clear(self, now_s):
        """Discard the directory and all reports, as this member may lead from now on.

        Parameters
        ----------
        now_s : float
        """
        self.listed_by_id = None
        self._report_by_engine = {}
        self._host_weights = HostWeights()
        self.departures.clear()
        self._former_rows = FormerRows(now_s)

    def set_directory(self, endpoints, read_s=0.0):
        """Replace the listed endpoints with those read from the directory.

        Parameters
        ----------
        endpoints : list of ListedEndpoint
        read_s : float, optional
            Time at which the reading began.
        """
        self.departures.observe(endpoints, read_s)
        self.listed_by_id = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        self._host_weights.forget_all_but(self.listed_by_id)

    def record_report(self, report):
        """Record an agent's report unless it is from an older process than the recorded one.

        Parameters
        ----------
        report : AgentReport
        """
        address = report.body.engine_address
        known = self._report_by_engine.get(address)
        if known is not None and known.incarnation > report.incarnation:
            return
        self._report_by_engine[address] = report
        self._host_weights.record_report(report)

    def current_report(self, endpoint_id, address, now_s):
        """Return the current report about an endpoint, None if there is none.

        A restarted engine may have a new id while the directory still lists the previous id at the
        same address.

        Parameters
        ----------
        endpoint_id, address : str
        now_s : float

        Returns
        -------
        AgentReport or None
        """
        report = self._fresh_report(address, now_s)
        return None if _is_for_other_endpoint(report, endpoint_id) else report

    def last_report(self, endpoint_id, address):
        """Return the latest report about an endpoint, however old; None if there is none.

        Parameters
        ----------
        endpoint_id, address : str

        Returns
        -------
        AgentReport or None
        """
        report = self._report_by_engine.get(address)
        return None if _is_for_other_endpoint(report, endpoint_id) else report

    def unresponsive_hosts(self, pool, now_s):
        """Return the models on the hosts of engines that do not respond to their agents.

        Engines that were leaving when they last responded are left out.

        Parameters
        ----------
        pool : str
        now_s : float

        Returns
        -------
        dict of str to frozenset of str
            Keyed by engine address.
        """
        hosts = {}
        for report in self._fresh_reports(pool, now_s):
            if not report.body.answers and not report.body.report.leaving:
                hosts[report.body.engine_address] = report.body.report.on_host
        return hosts

    def reported_hosts(self, pool, now_s):
        """Return the models on the hosts of all engines that respond, listed or not.

        Agents report before the directory lists their engines.

        Parameters
        ----------
        pool : str
        now_s : float

        Returns
        -------
        dict of str to frozenset of str
            Keyed by engine address.
        """
        hosts = {}
        for report in self._fresh_reports(pool, now_s):
            if report.body.answers:
                loaded = {model.name for model in report.body.report.models}
                hosts[report.body.engine_address] = report.body.report.on_host | loaded
        return hosts

    def _fresh_reports(self, pool, now_s):
        for address in self._report_by_engine:
            report = self._fresh_report(address, now_s)
            if report is not None and report.body.pool == pool:
                yield report

    def _fresh_report(self, address, now_s):
        report = self._report_by_engine.get(address)
        if report is None or now_s - report.received_s > REPORT_MAX_AGE_S:
            return None
        return report

    def rows(self, now_s, placement, limits, recorded=MappingProxyType({})):
        """Return the rows that should be recorded.

        Until an agent has reported to a new leader, its engine's row keeps what an earlier leader
        recorded of the host and of loads; entries would take them for lost otherwise.

        Parameters
        ----------
        now_s : float
        placement : Placement
            Provides the pending model changes.
        limits : RequestLimits
        recorded : dict of str to EndpointRow, optional
            Rows that are recorded now.

        Returns
        -------
        dict of str to EndpointRow, or None
            None until the directory has been read.
        """
        if self.listed_by_id is None:
            return None
        rows = {}
        for listed in self.listed_by_id.values():
            report = self._fresh_report(listed.address, now_s)
            if _is_for_other_endpoint(report, listed.endpoint_id):
                continue
            limit_per_s = limits.row_per_s(listed.endpoint_id, now_s)
            known = recorded.get(listed.endpoint_id)
            last_report = self.last_report(listed.endpoint_id, listed.address)
            on_host = self._host_weights.available(listed, last_report, known, now_s)
            row = _build_row(listed, report, placement, limit_per_s, on_host)
            if row.leaving and self._is_retiring(row, report, now_s):
                row = msgspec.structs.replace(row, leaving=False, retiring=True)
            if known is not None and known.address == listed.address:
                has_reported = listed.address in self._report_by_engine
                row = self._former_rows.complete(row, report, known, has_reported, now_s)
                row = self._former_rows.with_time_left(row, placement, now_s)
            rows[listed.endpoint_id] = row
        return rows

    def _is_retiring(self, row, report, now_s):
        if report is None or not report.body.answers:
            return False
        return self.departures.left_s(row.endpoint_id, report, now_s) > 0.0


def _is_for_other_endpoint(report, endpoint_id):
    return report is not None and report.body.endpoint_id not in ("", endpoint_id)


def _build_row(listed, report, placement, limit_per_s, on_host):
    models = listed.models if report is None else report.body.report.models
    if report is not None and not report.body.answers:
        models = ()
    leaving = listed.leaving or (report is not None and report.body.report.leaving)
    withheld = placement.withheld(listed.endpoint_id)
    resident = [
        ResidentModel(model.name, model.version) for model in models if model.name not in withheld
    ]
    resident.sort(key=lambda model: model.name)
    arriving = ()
    pending = placement.pending_by_id.get(listed.endpoint_id)
    if pending is not None:
        takes_ms = round((pending.ready_s - pending.decided_s) * MS_PER_S)
        arriving = (ArrivingModel(pending.message.load, takes_ms),)
    return EndpointRow(
        listed.endpoint_id,
        listed.pool,
        listed.address,
        listed.failure_domain,
        listed.slots,
        leaving,
        tuple(resident),
        "" if report is None else report.agent_address,
        arriving,
        on_host,
        listed.software_version,
        limit_per_s,
    )


def changed_rows(wanted, recorded):
    """Return the rows to record and the ids to remove.

    Parameters
    ----------
    wanted, recorded : dict of str to EndpointRow

    Returns
    -------
    tuple of (tuple of EndpointRow, tuple of str)
    """
    present = tuple(row for key, row in wanted.items() if recorded.get(key) != row)
    gone = tuple(key for key in recorded if key not in wanted)
    return present, gone
