"""Simulate the control members: the leader's view of engines and demand, and its succession."""

from hemlockdock_cli.lab.scenario import POOL
from hemlockdock_control.fleet.demand import DemandAggregator
from hemlockdock_control.fleet.placement import Placement
from hemlockdock_control.fleet.registry import AgentReport, EndpointRegistry, changed_rows
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_control.state.context import StateContext
from hemlockdock_control.state.routes import Endpoints
from hemlockdock_core.commands import RecordEndpoints
from hemlockdock_core.messages import DemandReport
from hemlockdock_core.wire import ListedEndpoint

SLOTS = 32
# Time for which no member decides after a leader is lost.
ELECTION_S = 1.0
FOLLOWERS = 4
# Wall-clock time at the first request.
WALL_CLOCK_S = 1_000_000
MS_PER_S = 1_000


class SimulatedControl:
    """Simulate the member that leads, and those that succeed it.

    Parameters
    ----------
    pool : PoolRow
    policy : type
        Class that chooses exchanges.
    """

    def __init__(self, pool, policy):
        self._pool = pool
        self._policy = policy
        self._placement = Placement(policy)
        self._followers = [Placement(policy) for _ in range(FOLLOWERS)]
        self._registry = EndpointRegistry()
        self._limits = RequestLimits(0.0)
        self._demand = DemandAggregator()
        self._context = StateContext(0)
        self._endpoints = Endpoints(self._context)
        self._term = 1
        self._leads_from_s = float("-inf")

    def leads(self, now_s):
        """Tell whether some member leads.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        return now_s >= self._leads_from_s

    def list_engines(self, names):
        """Replace the engines that the directory lists.

        Parameters
        ----------
        names : iterable of str
        """
        self._registry.set_directory(
            [ListedEndpoint(name, POOL, name, "d", SLOTS, False, ()) for name in names]
        )

    def lose_leader(self, now_s):
        """Let another member lead, which has followed the recorded rows.

        Parameters
        ----------
        now_s : float
        """
        self._term += 1
        self._leads_from_s = now_s + ELECTION_S
        # The former leader is back, without its memory, by the time it could be elected again.
        self._followers.append(Placement(self._policy))
        self._placement = self._followers.pop(0)
        self._placement.clear()
        listed = self._registry.listed_by_id
        self._registry.clear(self._leads_from_s)
        self._registry.listed_by_id = listed
        self._demand.clear()

    def record_demand(self, demand, now_s):
        """Record what the entry reports; it is lost while no member leads.

        Parameters
        ----------
        demand : ModelDemand
        now_s : float
        """
        if self.leads(now_s):
            self._demand.record_report("entry", DemandReport((demand,)), now_s)

    def _observe_recorded(self, now_s):
        endpoints = self._endpoints
        for placement in (self._placement, *self._followers):
            placement.observe_recorded(endpoints.loads, now_s, _wall_ms(now_s))
            placement.follow([self._pool], endpoints.row_by_id, now_s, self._term)

    def decide(self, engines, now_s):
        """Run one placement round.

        Parameters
        ----------
        engines : iterable of SimulatedEngine
            All engines; their agents report whether the directory lists them or not.
        now_s : float

        Returns
        -------
        list of AgentMessage
        """
        if not self.leads(now_s):
            return []
        self._observe_recorded(now_s)
        for engine in engines:
            report = AgentReport(engine.name, 1, engine.report(now_s), now_s)
            self._registry.record_report(report)
        rows = self._rows(now_s)
        return self._placement.decide(
            [self._pool], rows, self._registry, self._demand, now_s, self._term
        )

    def record_rows(self, now_s):
        """Record the rows that entries route by, unless no member leads.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        dict of str to EndpointRow
        """
        if self.leads(now_s):
            present, gone = changed_rows(self._rows(now_s), self._endpoints.row_by_id)
            store_loads = self._placement.store.measured_limit
            self._commit(RecordEndpoints(present, gone, _wall_ms(now_s), store_loads))
        return self._endpoints.row_by_id

    def _commit(self, command):
        self._context.advance(self._context.index + 1, command.at_ms)
        self._endpoints.record(command)

    def withheld(self, engine_name):
        """Return the models to which the entry must route no more requests.

        Parameters
        ----------
        engine_name : str

        Returns
        -------
        frozenset of str
        """
        return self._placement.withheld(engine_name)

    def _rows(self, now_s):
        recorded = self._endpoints.row_by_id
        return self._registry.rows(now_s, self._placement, self._limits, recorded)


def _wall_ms(now_s):
    return round((WALL_CLOCK_S + now_s) * MS_PER_S)
