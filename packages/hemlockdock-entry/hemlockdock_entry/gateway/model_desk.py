"""Let requests wait for a model, and send them on once an endpoint holds it."""

import logging
from dataclasses import dataclass, field

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import DemandReport, ModelDemand
from hemlockdock_entry.gateway.adapter_waits import AdapterWaits
from hemlockdock_entry.gateway.model_supply import ModelSupply
from hemlockdock_entry.gateway.patience import Patience, may_wait, return_after_ms

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
REPORT_DELAY_S = 0.004
REPORT_REPEAT_S = 0.25
# Part of an endpoint's slots that one entry fills; others send requests there, too.
SLOTS_SHARE = 0.6


@dataclass(slots=True)
class ModelUse:
    """Hold how one model is used by this entry.

    Attributes
    ----------
    pool, model : str
    arrivals : int
    in_flight : int
    waiting : list of Exchange
    return_at_s : list of float
        When refused clients will be back.
    """

    pool: str
    model: str
    arrivals: int = 0
    in_flight: int = 0
    waiting: list = field(default_factory=list)
    return_at_s: list = field(default_factory=list)

    @property
    def is_wanted(self):
        """Tell whether anything waits, runs or will come back."""
        return bool(self.waiting or self.in_flight or self.return_at_s)

    def demand(self, now_s):
        """Return the use as the leader is told of it.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        ModelDemand
        """
        self.return_at_s = [at_s for at_s in self.return_at_s if at_s > now_s]
        left = [item.target_s - now_s for item in self.waiting if item.target_s > now_s]
        target_left_ms = round(min(left) * MS_PER_S) if left else 0
        return ModelDemand(
            self.pool,
            self.model,
            self.arrivals,
            len(self.waiting),
            self.in_flight,
            len(left),
            target_left_ms,
            min((item.route.urgency for item in self.waiting), default=0),
            len(self.return_at_s),
        )


class ModelDesk:
    """Let requests wait for models.

    Parameters
    ----------
    gateway : Gateway
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._use_by_model = {}
        self._changed = set()
        self._report_call = None
        self._adapters = AdapterWaits(gateway, self._settle_adapter)
        self._reported_s = 0.0
        self._supply = ModelSupply()

    def enqueue(self, exchange):
        """Let a request wait until an endpoint can run it.

        Parameters
        ----------
        exchange : Exchange
        """
        if exchange.pool.engine.model(exchange.model) is None:
            # Nothing is kept of names that clients make up.
            refusal = Refusal.of(ErrorKind.NO_CAPACITY, "no engine of the pool has this model")
            exchange.refuse(refusal)
            return
        use = self._use(exchange)
        if not exchange.queued:
            exchange.queued = True
            use.arrivals += 1
        use.waiting.append(exchange)
        use.waiting.sort(key=_order)
        self._note_change(use)
        self._pump(use)

    def leave(self, exchange):
        """Take a request out; nothing happens where it doesn't wait.

        Parameters
        ----------
        exchange : Exchange
        """
        if not exchange.queued:
            return
        use = self._use(exchange)
        if exchange in use.waiting:
            use.waiting.remove(exchange)
            self._note_change(use)
        if self._adapters.leave(exchange):
            self._free_place(exchange)

    def released(self, exchange):
        """Count a request off its model, and send what waits.

        Parameters
        ----------
        exchange : Exchange
        """
        use = self._use(exchange)
        use.in_flight -= 1
        self._note_change(use)
        if use.waiting:
            self._gateway.clock.callLater(0, self._pump, use)

    def table_changed(self):
        """Send what waits and can be run now, and refuse what waits in vain."""
        self._supply.learn(self._gateway.all_rows(), self._gateway.clock.seconds())
        self._adapters.forget_gone()
        for use in self._use_by_model.values():
            if use.waiting:
                self._pump(use)

    def check(self):
        """Send what can be sent by now, and refuse what can't be served in its client's time."""
        for use in self._use_by_model.values():
            if use.waiting:
                self._pump(use)
        for exchange in self._adapters.all_waiting():
            self._refuse_hopeless(self._use(exchange), [exchange])

    def refuse_all(self, refusal):
        """Refuse everything that waits.

        Parameters
        ----------
        refusal : Refusal
        """
        for use in self._use_by_model.values():
            for exchange in list(use.waiting):
                exchange.refuse(refusal)
        for exchange in self._adapters.all_waiting():
            exchange.refuse(refusal)

    def adapter_held(self, message):
        """Take an agent's word on an adapter.

        Parameters
        ----------
        message : AdapterHeld
        """
        self._adapters.take(message)

    def repeat_report(self):
        """Tell the leader of all that waits or runs; a report may have been lost."""
        now_s = self._gateway.clock.seconds()
        if now_s - self._reported_s < REPORT_REPEAT_S:
            return
        for key, use in self._use_by_model.items():
            if use.is_wanted:
                self._changed.add(key)
        if self._changed:
            self._report()

    def _use(self, exchange):
        key = (exchange.pool.name, exchange.model)
        use = self._use_by_model.get(key)
        if use is None:
            use = ModelUse(*key)
            self._use_by_model[key] = use
        return use

    def _pump(self, use):
        while use.waiting:
            exchange = use.waiting[0]
            row = self._choose(exchange)
            if row is None:
                self._refuse_hopeless(use, list(use.waiting))
                return
            use.waiting.pop(0)
            use.in_flight += 1
            self._note_change(use)
            self._send(exchange, row)

    def _refuse_hopeless(self, use, exchanges):
        """Refuse those of a model's requests that can't be served in their clients' time."""
        now_s = self._gateway.clock.seconds()
        ready_s = self._supply.ready_s(use.pool, use.model)
        least_s = self._supply.least_s(exchanges[0].pool, use.model)
        for exchange in exchanges:
            patience = Patience.of(
                exchange.route,
                self._gateway.fleet,
                exchange.request.received_s,
                exchange.deadline_s,
            )
            if not may_wait(patience, ready_s, now_s, least_s):
                self._refuse_in_vain(use, exchange, ready_s, least_s)

    def _refuse_in_vain(self, use, exchange, ready_s, least_s):
        now_s = self._gateway.clock.seconds()
        if exchange.may_have_run:
            kind, why = ErrorKind.ENDPOINT_LOST, "no other endpoint can go on with it in time"
        else:
            kind, why = ErrorKind.DEADLINE_UNREACHABLE, "the model is not there in time"
        after_ms = return_after_ms(exchange.deadline_s, ready_s, now_s, least_s)
        if exchange.is_first:
            use.return_at_s.append(now_s + after_ms / MS_PER_S)
        exchange.refuse(Refusal.of(kind, why, retry_after_ms=after_ms))

    def _choose(self, exchange):
        gateway = self._gateway
        now_s = gateway.clock.seconds()
        most = max(2, int(exchange.pool.engine.slots * SLOTS_SHARE))
        usable = []
        for row in gateway.rows_with_connections(exchange.pool):
            if not row.holds(exchange.model):
                continue
            health = gateway.health.of(row.endpoint_id)
            if health.in_flight < most and health.full_until_s <= now_s:
                usable.append(row)
        preferred = frozenset()
        if exchange.adapter:
            preferred = self._holders(exchange, usable)
        row = gateway.health.choose(usable, now_s, exchange.tried_ids, preferred)
        if row is None and exchange.tried_ids:
            row = gateway.health.choose(usable, now_s, frozenset(), preferred)
        return row

    def _holders(self, exchange, rows):
        held = [row.endpoint_id for row in rows if self._adapters.is_held(exchange, row)]
        return frozenset(held)

    def _send(self, exchange, row):
        if not exchange.adapter:
            exchange.send_to(row)
            return
        self._adapters.wish(exchange, row)
        if self._adapters.is_held(exchange, row):
            exchange.send_to(row)
            return
        self._gateway.health.of(row.endpoint_id).in_flight += 1
        self._adapters.wait(exchange, row)

    def _free_place(self, exchange):
        """Give back the place that was kept for a request while it waited for an adapter."""
        self._gateway.health.of(exchange.reserved_id).in_flight -= 1
        use = self._use(exchange)
        use.in_flight -= 1
        self._note_change(use)

    def _settle_adapter(self, exchange, held):
        row = self._gateway.row(exchange.reserved_id)
        if held and row is not None and not exchange.ended:
            # Its place is counted by the try from now on.
            self._gateway.health.of(row.endpoint_id).in_flight -= 1
            exchange.send_to(row)
            return
        self._free_place(exchange)
        if not exchange.ended:
            exchange.tried_ids.discard(exchange.reserved_id)
            self.enqueue(exchange)

    def _note_change(self, use):
        self._changed.add((use.pool, use.model))
        if self._report_call is None:
            self._report_call = self._gateway.clock.callLater(REPORT_DELAY_S, self._report_due)

    def _report_due(self):
        self._report_call = None
        self._report()

    def _report(self):
        now_s = self._gateway.clock.seconds()
        demands = tuple(self._use_by_model[key].demand(now_s) for key in self._changed)
        self._changed = set()
        self._reported_s = now_s
        self._gateway.tell_leader(DemandReport(demands))


def _order(exchange):
    return (exchange.route.urgency, exchange.deadline_s)
