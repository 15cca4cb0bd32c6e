"""Have the models of a fleet's engines exchanged, and follow each exchange to its end."""

import logging
import zlib
from dataclasses import dataclass

import msgspec

from hemlockdock_control.fleet.engine_view import EngineView, PendingChange
from hemlockdock_control.fleet.model_choice import ModelChoice
from hemlockdock_control.fleet.placement_memory import PlacementMemory
from hemlockdock_control.fleet.store_speed import StoreSpeed
from hemlockdock_core.messages import ChangeModels, EngineFacts

logger = logging.getLogger(__name__)

CHANGES_PER_TERM = 1_000_000
# Entries learn within this time that a model is about to go.
WITHHOLD_S = 0.05
# A model that is asked for less often is hardly asked for in that time, and isn't waited with.
WITHHOLD_RATE_PER_S = 0.5
# An agent acknowledges at once; what it doesn't acknowledge was lost.
RESEND_S = 0.4
MS_PER_S = 1_000.0
# Several loads at the store's slowest; after that the change is given up.
GIVE_UP_S = 45.0
# All agents have found the leader by then.
FIRST_REPORTS_S = 1.0


@dataclass(frozen=True, slots=True)
class Letter:
    """Hold a message to be sent to an agent.

    Attributes
    ----------
    agent_address : str
    message : ChangeModels or EngineFacts
    """

    agent_address: str
    message: ChangeModels | EngineFacts


class Placement:
    """Have models exchanged while this member leads.

    Parameters
    ----------
    choice_type : type, optional
        Chooses exchanges; takes what ``ModelChoice`` takes.

    Attributes
    ----------
    pending_by_id : dict of str to PendingChange
        By endpoint id.
    store : StoreSpeed
        Kept while others lead: the store stays the same.
    """

    def __init__(self, choice_type=ModelChoice):
        self._choice_type = choice_type
        self.store = StoreSpeed()
        self.clear()

    def clear(self):
        """Forget everything: another member may have led meanwhile."""
        self.pending_by_id = {}
        self.store.forget_loads()
        self._memory = PlacementMemory(self.store)
        self._counter = 0
        self._began_s = None

    def withheld(self, endpoint_id):
        """Return the models that no more requests are to be sent for.

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
        """Make one round of decisions.

        Parameters
        ----------
        pools : iterable of PoolRow
        rows : dict of str to EndpointRow
        registry : EndpointRegistry
        demand : DemandBoard
        now_s : float
        term : int

        Returns
        -------
        list of Letter
        """
        letters = []
        self.store.check(now_s)
        for pool in pools:
            if pool.engine is None:
                continue
            views = self._views(pool, rows, registry, now_s)
            letters.extend(_missing_facts(pool, views, term))
            self._settle(pool, views, now_s)
            if not self._knows_enough(pool, rows, views, now_s):
                continue
            self._memory.see(views.values(), now_s)
            choice = self._choice_type(pool, views, demand, self._memory, now_s)
            for chosen in choice.choices():
                self._add(chosen, views[chosen.endpoint_id], now_s, term)
            letters.extend(self._due(views, now_s))
        return letters

    def _knows_enough(self, pool, rows, views, now_s):
        """Tell whether all agents have reported, or had the time to."""
        if self._began_s is None and views:
            self._began_s = now_s
        expected = sum(1 for row in rows.values() if row.pool == pool.name and not row.leaving)
        if len(views) >= expected:
            return bool(views)
        return self._began_s is not None and now_s - self._began_s >= FIRST_REPORTS_S

    def _views(self, pool, rows, registry, now_s):
        views = {}
        for row in rows.values():
            if row.pool != pool.name or row.leaving:
                continue
            report = registry.report_of(row.endpoint_id, row.address, now_s)
            if report is None or not report.body.answers:
                continue
            body = report.body
            views[row.endpoint_id] = EngineView(
                row.endpoint_id,
                report.agent_address,
                body.report,
                body.change_number,
                body.changing,
                body.facts_number,
                self.pending_by_id.get(row.endpoint_id),
            )
        return views

    def _settle(self, pool, views, now_s):
        for endpoint_id, pending in list(self.pending_by_id.items()):
            view = views.get(endpoint_id)
            is_gone = view is None and now_s - pending.decided_s > RESEND_S
            is_late = now_s - pending.decided_s > GIVE_UP_S
            is_over = view is not None and _is_over(view, pending)
            if not is_gone and not is_late and not is_over:
                continue
            del self.pending_by_id[endpoint_id]
            model = pending.message.load
            loaded = view is not None and view.report.model(model) is not None
            self.store.ended(pending.message.number, is_over and loaded, now_s)
            if view is not None:
                view.pending = None
                lately = self._memory.loads if loaded else self._memory.failures
                lately.note(endpoint_id, model, now_s)
            logger.info(
                "exchange over",
                extra={
                    "endpoint": endpoint_id,
                    "change": pending.message.number,
                    "took_s": round(now_s - pending.decided_s, 3),
                    "outcome": "gone" if is_gone else "late" if is_late else "reported",
                },
            )

    def _add(self, choice, view, now_s, term):
        self._counter += 1
        message = ChangeModels(
            term,
            term * CHANGES_PER_TERM + self._counter,
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
        )
        self.pending_by_id[view.endpoint_id] = pending
        view.pending = pending
        if choice.source == "store":
            nominal_s = choice.model.store_load_ms / MS_PER_S
            self.store.began(message.number, nominal_s, now_s + withhold_s)
        logger.info(
            "exchange decided",
            extra={
                "endpoint": view.endpoint_id,
                "change": message.number,
                "load": message.load,
                "unload": message.unload,
                "source": choice.source,
                "reason": choice.reason,
            },
        )

    def _due(self, views, now_s):
        for endpoint_id, pending in self.pending_by_id.items():
            view = views.get(endpoint_id)
            if view is None:
                continue
            if now_s < pending.not_before_s:
                continue
            if view.change_number >= pending.message.number or now_s - pending.sent_s < RESEND_S:
                continue
            pending.sent_s = now_s
            yield Letter(view.agent_address, pending.message)


def _missing_facts(pool, views, term):
    number = zlib.crc32(msgspec.msgpack.encode((term, pool)))
    for view in views.values():
        if view.facts_number != number:
            facts = EngineFacts(term, number, pool.engine, pool.probe_path)
            yield Letter(view.agent_address, facts)


def _is_over(view, pending):
    if view.report.started_ms != pending.engine_started_ms:
        return True
    return view.change_number >= pending.message.number and not view.changing
