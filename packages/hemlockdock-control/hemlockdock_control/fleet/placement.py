"""Placement controller: orders model exchanges on engines and tracks them to completion."""

import logging

from hemlockdock_control.fleet.agent_messages import AgentMessage, facts_messages
from hemlockdock_control.fleet.engine_view import PendingChange
from hemlockdock_control.fleet.engine_views import EngineViews
from hemlockdock_control.fleet.last_copies import last_copies_leaving
from hemlockdock_control.fleet.model_choice import ModelChoice
from hemlockdock_control.fleet.placement_history import PlacementHistory
from hemlockdock_control.fleet.placement_log import PlacementLog
from hemlockdock_control.fleet.recorded_loads import RecordedLoads
from hemlockdock_control.fleet.store_concurrency import StoreConcurrencyEstimator
from hemlockdock_control.fleet.store_follower import StoreFollower
from hemlockdock_core.messages import ChangeModels

logger = logging.getLogger(__name__)

CHANGES_PER_TERM = 1_000_000
# Time within which entries learn that a model is going to be unloaded.
WITHHOLD_S = 0.05
# A model with a lower request rate is unloaded at once: a request within that time is unlikely.
WITHHOLD_RATE_PER_S = 0.5
# Agents acknowledge a change at once; one that is unacknowledged for this long was lost and is
# sent again.
RESEND_S = 0.4
MS_PER_S = 1_000.0
# A change is abandoned after this time, which covers several loads from the store at its slowest.
CHANGE_TIMEOUT_S = 45.0
# Time within which all agents and entries find a new leader and report to it.
INITIAL_REPORTS_TIMEOUT_S = 1.0


class Placement:
    """Decide on model exchanges and track them while this member leads.

    Parameters
    ----------
    policy : type, optional
        Policy that chooses exchanges; has the constructor parameters of ``ModelChoice``.

    Attributes
    ----------
    pending_by_id : dict of str to PendingChange
        Keyed by endpoint id.
    store : StoreConcurrencyEstimator
        Kept across changes of leadership, as the store itself does not change.
    """

    def __init__(self, policy=ModelChoice):
        self._policy = policy
        self.store = StoreConcurrencyEstimator()
        self._recorded_loads = RecordedLoads()
        self._follower = StoreFollower(self.store)
        self.clear()

    def clear(self):
        """Discard all changes and history: another member may have led in the meantime."""
        self.pending_by_id = {}
        self._history_by_pool = {}
        self._change_counter = 0
        self._first_view_s = None
        self._log = PlacementLog()

    def observe_recorded(self, loads, now_s, wall_ms):
        """Learn which loads the replicated state lists, whether this member leads or not.

        Parameters
        ----------
        loads : ModelLoads
        now_s : float
        wall_ms : int
        """
        self._recorded_loads.update(loads, now_s, wall_ms)
        if loads.store_loads:
            self.store.adopt(loads.store_loads, now_s)

    def follow(self, pools, rows, now_s, term):
        """Follow the recorded loads of all leaders, to measure the store.

        Parameters
        ----------
        pools : iterable of PoolRow
        rows : dict of str to EndpointRow
        now_s : float
        term : int
        """
        self._follower.follow(pools, rows, self._recorded_loads, now_s, term)

    def recorded_left_ms(self, endpoint_id, model, now_s):
        """Return how long a recorded load is still going to take.

        Parameters
        ----------
        endpoint_id, model : str
        now_s : float

        Returns
        -------
        int or None
            None if no such load is recorded.
        """
        recorded = self._recorded_loads.recorded_by_key.get((endpoint_id, model))
        if recorded is None:
            return None
        return max(0, round((recorded.planned_end_s - now_s) * MS_PER_S))

    def withheld(self, endpoint_id):
        """Return the models to which entries must route no more requests.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        frozenset of str
        """
        pending = self.pending_by_id.get(endpoint_id)
        return frozenset() if pending is None else frozenset(pending.message.unload)

    def decide(self, pools, rows, registry, demand, now_s, term):
        """Run one placement round.

        Parameters
        ----------
        pools : iterable of PoolRow
        rows : dict of str to EndpointRow
        registry : EndpointRegistry
        demand : DemandAggregator
        now_s : float
        term : int

        Returns
        -------
        list of AgentMessage
            Messages to send to agents.
        """
        messages = []
        decided = {(key, item.message.load) for key, item in self.pending_by_id.items()}
        self.store.check_overdue(now_s, decided)
        for pool in pools:
            if pool.engine is None:
                continue
            engines = EngineViews(pool, rows, registry, self.pending_by_id, now_s)
            views = engines.available_by_id
            messages.extend(facts_messages(pool, views, term))
            history = self._history_of(pool)
            self._finish_changes(history, engines, now_s)
            if not demand.has_requests:
                history.observe_reports(registry.reported_hosts(pool.name, now_s), now_s)
            if not self._has_enough_reports(pool, rows, views, now_s):
                continue
            leaving_ids = {row.endpoint_id for row in rows.values() if row.leaving or row.retiring}
            unresponsive = registry.unresponsive_hosts(pool.name, now_s)
            staying = [view for view in views.values() if not view.is_leaving]
            history.observe(staying, now_s, leaving_ids, unresponsive)
            history.unavailable = tuple(engines.unavailable_by_id.values())
            history.silent = tuple(engines.silent_by_id.values())
            history.last_copies = last_copies_leaving(engines.all())
            history.knows_demand = self._knows_demand(now_s)
            specs = {model.name: model for model in pool.engine.models}
            recorded = self._recorded_loads.from_store(pool)
            history.lost_loads.observe(engines.all(), specs, now_s, recorded)
            choice = self._policy(pool, views, demand, history, now_s)
            for chosen in choice.choices():
                self._start_change(chosen, views[chosen.endpoint_id], now_s, term)
                if chosen.source == "store":
                    self._log.note_store_demand(pool, choice.absent_models(), demand, now_s)
            self._log.note_store_use(pool, choice.store, choice.store_idleness)
            self._log.note_last_copies(pool, history.last_copies, demand, now_s)
            messages.extend(self._due_messages(views, now_s))
        return messages

    def _history_of(self, pool):
        if pool.name not in self._history_by_pool:
            self._history_by_pool[pool.name] = PlacementHistory(self.store)
        return self._history_by_pool[pool.name]

    def _has_enough_reports(self, pool, rows, views, now_s):
        """Tell whether all agents have reported or have had enough time to do so."""
        if self._first_view_s is None and views:
            self._first_view_s = now_s
        expected = sum(1 for row in rows.values() if row.pool == pool.name and not row.leaving)
        if len(views) >= expected:
            return bool(views)
        return (
            self._first_view_s is not None
            and now_s - self._first_view_s >= INITIAL_REPORTS_TIMEOUT_S
        )

    def _knows_demand(self, now_s):
        """Tell whether all entries have had enough time to report what clients ask for."""
        return now_s - self._first_view_s >= INITIAL_REPORTS_TIMEOUT_S

    def _finish_changes(self, history, engines, now_s):
        for endpoint_id, pending in list(self.pending_by_id.items()):
            view = engines.available_by_id.get(endpoint_id)
            is_absent = view is None and endpoint_id not in engines.silent_by_id
            is_gone = is_absent and now_s - pending.decided_s > RESEND_S
            is_late = now_s - pending.decided_s > CHANGE_TIMEOUT_S
            is_finished = view is not None and _is_finished(view, pending)
            if not is_gone and not is_late and not is_finished:
                continue
            del self.pending_by_id[endpoint_id]
            model = pending.message.load
            loaded = view is not None and view.report.model(model) is not None
            self.store.record_end((endpoint_id, model), is_finished and loaded, now_s)
            if view is not None:
                view.pending = None
                recent = history.recent_loads if loaded else history.recent_failures
                recent.note(endpoint_id, model, now_s)
            logger.info(
                "exchange over",
                extra={
                    "endpoint": endpoint_id,
                    "change": pending.message.number,
                    "took_s": round(now_s - pending.decided_s, 3),
                    "outcome": "gone" if is_gone else "late" if is_late else "reported",
                },
            )

    def _start_change(self, choice, view, now_s, term):
        self._change_counter += 1
        message = ChangeModels(
            term,
            term * CHANGES_PER_TERM + self._change_counter,
            view.endpoint_id,
            choice.unload,
            choice.model.name,
        )
        withhold_s = WITHHOLD_S if choice.unload_rate_per_s > WITHHOLD_RATE_PER_S else 0.0
        pending = PendingChange(
            message,
            view.report.started_ms,
            choice.source,
            now_s,
            now_s + WITHHOLD_S + choice.takes_s,
            now_s + withhold_s,
            is_fallback=choice.is_fallback,
        )
        self.pending_by_id[view.endpoint_id] = pending
        view.pending = pending
        if choice.source == "store":
            nominal_s = choice.model.store_load_ms / MS_PER_S
            key = (view.endpoint_id, choice.model.name)
            self.store.record_start(key, nominal_s, now_s + withhold_s)
        logger.info(
            "exchange decided",
            extra={
                "endpoint": view.endpoint_id,
                "change": message.number,
                "load": message.load,
                "unload": message.unload,
                "source": choice.source,
                "is_fallback": choice.is_fallback,
                "takes_s": round(choice.takes_s, 3),
                "reason": choice.reason,
            },
        )

    def _due_messages(self, views, now_s):
        for endpoint_id, pending in self.pending_by_id.items():
            view = views.get(endpoint_id)
            if view is None:
                continue
            if now_s < pending.not_before_s:
                continue
            if view.change_number >= pending.message.number or now_s - pending.sent_s < RESEND_S:
                continue
            pending.sent_s = now_s
            yield AgentMessage(view.agent_address, pending.message)


def _is_finished(view, pending):
    if view.report.started_ms != pending.engine_started_ms:
        return True
    return view.change_number >= pending.message.number and not view.changing
