"""Refuse waiting requests that can't be served within their clients' patience."""

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_entry.gateway.continuation import can_continue
from hemlockdock_entry.gateway.patience import may_wait, retry_after_ms

MS_PER_S = 1_000


class UnservableRequests:
    """Refuse the requests of a model that can't be served in time.

    Parameters
    ----------
    gateway : Gateway
    supply : ModelAvailability
    priority_policy : PriorityPolicy
    """

    def __init__(self, gateway, supply, priority_policy):
        self._gateway = gateway
        self._priority_policy = priority_policy
        self._supply = supply

    def refuse(self, use, exchanges):
        """Refuse those of a model's requests that can't be served in time.

        Parameters
        ----------
        use : LocalDemand
        exchanges : list of ProxyExchange
        """
        now_s = self._gateway.clock.seconds()
        pool = exchanges[0].pool
        ready_s = self._supply.ready_s(pool, use.model, now_s)
        least_s = self._supply.least_s(pool, use.model)
        for exchange in exchanges:
            rows = self._gateway.endpoints.of_pool(pool.name)
            if not can_continue(exchange.binding.origin, exchange.model, rows):
                exchange.refuse_continuation()
                continue
            served_s = _earliest(ready_s, self._gateway.selection.room_s(exchange))
            if not may_wait(exchange.patience, served_s, now_s, least_s):
                self._refuse_with_retry_time(use, exchange, served_s, least_s)

    def _refuse_with_retry_time(self, use, exchange, ready_s, least_s):
        now_s = self._gateway.clock.seconds()
        if exchange.may_have_run:
            kind, why = ErrorKind.ENDPOINT_LOST, "no other endpoint can go on with it in time"
        elif not least_s:
            kind = ErrorKind.DEADLINE_UNREACHABLE
            why = "no endpoint with the model has a free slot in time"
        else:
            kind, why = ErrorKind.DEADLINE_UNREACHABLE, "the model can't be loaded in time"
        after_ms = retry_after_ms(exchange.deadline_s, ready_s, now_s, least_s)
        if not least_s:
            # The model is loaded, so that a free slot is missing.
            after_ms = self._priority_policy.retry_after_ms(exchange, after_ms)
            self._priority_policy.record_refusal(exchange)
        if exchange.is_first_request:
            use.return_times_s.append(now_s + after_ms / MS_PER_S)
        exchange.refuse(Refusal.of(kind, why, retry_after_ms=after_ms))


def _earliest(*times_s):
    known_s = [time_s for time_s in times_s if time_s is not None]
    return min(known_s, default=None)
