"""Ask the leader for permits to send requests to endpoints that have a limit."""

from hemlockdock_core.messages import PermitRequest, PermitReturn
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.request_limit import MAX_RETURN_S, effective_per_s, is_much_lower
from hemlockdock_entry.gateway.endpoint_permits import AskedPermits, EndpointPermits
from hemlockdock_entry.leader_times import OWN_PACE_AFTER_S, REPLY_TIMEOUT_S, RETRY_S
from hemlockdock_entry.own_pace import OwnPace

MS_PER_S = 1_000


class PermitTracker:
    """Ask the leader for a permit for each request; out of touch, keep to an equal share.

    Parameters
    ----------
    gateway : Gateway
    limits : EndpointLimits
    random_source : random.Random
    """

    def __init__(self, gateway, limits, random_source):
        self._gateway = gateway
        self._limits = limits
        self._random = random_source
        self._number = 0
        self._permits_by_id = {}

    def acquire(self, exchange, endpoint_id):
        """Give a request what it needs to be sent to an endpoint now, or ask for it.

        Parameters
        ----------
        exchange : ProxyExchange
        endpoint_id : str

        Returns
        -------
        bool
            Whether it may be sent now. If not, its wish is pending, or the endpoint has declined.
        """
        wish = exchange.wish
        has_limit = self._limits.per_s(endpoint_id) is not None
        if has_limit and self.may_send(endpoint_id, wish.permit):
            return True
        self.give_back(exchange.take_permit())
        if not has_limit:
            wish.asked_id = ""
            return True
        now_s = self._gateway.clock.seconds()
        permits = self._for_endpoint(endpoint_id)
        self._return_expired(endpoint_id, permits)
        held = permits.take_held(now_s + exchange.may_wait_s)
        if held is not None:
            self._hand_over(exchange, held)
        elif not self._gateway.link.leader_answers_within(OWN_PACE_AFTER_S):
            self._book_own(exchange, endpoint_id, permits, now_s)
        elif permits.has_none_before(now_s + exchange.may_wait_s, now_s):
            self._decline(exchange, endpoint_id, permits)
        else:
            self._want(exchange, endpoint_id, permits)
        return self.may_send(endpoint_id, wish.permit)

    def may_send(self, endpoint_id, permit):
        """Return whether a request may be written to its endpoint now.

        Parameters
        ----------
        endpoint_id : str
        permit : Permit or None

        Returns
        -------
        bool
        """
        if self._limits.per_s(endpoint_id) is None:
            return True
        if permit is None or permit.endpoint_id != endpoint_id or self._has_lapsed(permit):
            return False
        return permit.is_valid(self._gateway.clock.seconds())

    def is_open(self, exchange, endpoint_id):
        """Return whether a request may be sent to an endpoint, or may ask for a permit.

        Parameters
        ----------
        exchange : ProxyExchange
        endpoint_id : str

        Returns
        -------
        bool
        """
        if self._limits.per_s(endpoint_id) is None:
            return True
        now_s = self._gateway.clock.seconds()
        wish = exchange.wish
        if wish.is_pending(now_s):
            return False
        if wish.permit is not None and self.may_send(wish.permit.endpoint_id, wish.permit):
            return wish.permit.endpoint_id == endpoint_id
        return wish.declined_until_s_by_id.get(endpoint_id, 0.0) <= now_s

    def declined_until_s(self, exchange, endpoint_id):
        """Return until when an endpoint has no permit for a request; 0 if it may have one.

        Parameters
        ----------
        exchange : ProxyExchange
        endpoint_id : str

        Returns
        -------
        float
        """
        if self._limits.per_s(endpoint_id) is None:
            return 0.0
        return exchange.wish.declined_until_s_by_id.get(endpoint_id, 0.0)

    def give_back(self, permit):
        """Keep a permit that was not used for another request.

        Parameters
        ----------
        permit : Permit or None
        """
        if permit is not None and not self._has_lapsed(permit):
            self._permits_by_id[permit.endpoint_id].held.append(permit)

    def on_reply(self, message):
        """Process the leader's reply.

        Parameters
        ----------
        message : PermitReply
        """
        now_s = self._gateway.clock.seconds()
        permits = self._permits_by_id.get(message.endpoint_id)
        asked = None
        if permits is not None:
            asked = permits.asked_by_number.get(message.number)
        # A late reply is followed by the timeout. This entry or the leader may have been frozen.
        if asked is None or now_s - asked.asked_s >= REPLY_TIMEOUT_S:
            COUNTERS.increment("gateway_permit_replies_late")
            return
        if len(asked.exchanges) != len(message.offers):
            COUNTERS.increment("gateway_permit_replies_malformed")
            return
        del permits.asked_by_number[message.number]
        for exchange, offer in zip(asked.exchanges, message.offers, strict=True):
            self._apply_offer(exchange, message.endpoint_id, permits, offer)
        for exchange in asked.exchanges:
            exchange.resume()

    def remove_absent(self, endpoint_ids):
        """Forget endpoints that no longer exist.

        Parameters
        ----------
        endpoint_ids : collection of str
            The existing endpoints.
        """
        for endpoint_id in list(self._permits_by_id):
            if endpoint_id not in endpoint_ids:
                self._forget(endpoint_id)

    def limit_changed(self, endpoint_id, before_per_s, after_per_s):
        """Apply that an endpoint's limit was named, changed or lifted.

        Parameters
        ----------
        endpoint_id : str
        before_per_s, after_per_s : float or None
            None if there is no limit.
        """
        if after_per_s is None:
            self._forget(endpoint_id)
            return
        permits = self._permits_by_id.get(endpoint_id)
        if permits is not None and is_much_lower(before_per_s, after_per_s):
            permits.lower_limit()

    def run_maintenance(self):
        """Return the permits that were not used."""
        for endpoint_id, permits in self._permits_by_id.items():
            self._return_expired(endpoint_id, permits)

    def _for_endpoint(self, endpoint_id):
        permits = self._permits_by_id.get(endpoint_id)
        if permits is None:
            permits = EndpointPermits(OwnPace(self._random))
            self._permits_by_id[endpoint_id] = permits
        return permits

    def _hand_over(self, exchange, permit):
        if exchange.ended or exchange.wish.permit is not None:
            self.give_back(permit)
            return
        exchange.wish.permit = permit
        wait_s = permit.valid_from_s - self._gateway.clock.seconds()
        if wait_s > 0.0:
            self._gateway.clock.callLater(wait_s, exchange.resume)

    def _has_lapsed(self, permit):
        permits = self._permits_by_id.get(permit.endpoint_id)
        return permits is None or permit.generation != permits.generation

    def _apply_offer(self, exchange, endpoint_id, permits, offer):
        now_s = self._gateway.clock.seconds()
        at_s = now_s + offer.after_ms / MS_PER_S
        # The request may have gone to another endpoint meanwhile.
        is_wanted = exchange.wish.asked_id == endpoint_id
        if is_wanted:
            exchange.wish.asked_id = ""
        if offer.is_booked:
            permit = permits.create(endpoint_id, at_s, True)
            if is_wanted:
                self._hand_over(exchange, permit)
            else:
                self.give_back(permit)
            return
        permits.next_s = at_s
        permits.said_s = now_s
        permits.return_s = now_s + offer.return_ms / MS_PER_S
        exchange.wish.declined_until_s_by_id[endpoint_id] = permits.return_s

    def _want(self, exchange, endpoint_id, permits):
        exchange.wish.asked_id = endpoint_id
        permits.wanting.append(exchange)
        if len(permits.wanting) == 1:
            # Permits for requests that are dispatched together are asked for together.
            self._gateway.clock.callLater(0, self._ask, endpoint_id, permits)

    def _decline(self, exchange, endpoint_id, permits):
        per_s = effective_per_s(self._limits.per_s(endpoint_id))
        latest_s = max(permits.next_s, self._gateway.clock.seconds() + MAX_RETURN_S)
        permits.return_s = max(permits.next_s, permits.return_s + 1.0 / per_s)
        permits.return_s = min(latest_s, permits.return_s)
        exchange.wish.declined_until_s_by_id[endpoint_id] = permits.return_s

    def _ask(self, endpoint_id, permits):
        exchanges, permits.wanting = permits.wanting, []
        if not exchanges:
            return
        self._number += 1
        now_s = self._gateway.clock.seconds()
        permits.asked_by_number[self._number] = AskedPermits(exchanges, now_s)
        waits_ms = []
        for exchange in exchanges:
            waits_ms.append(max(0, int(exchange.may_wait_s * MS_PER_S)))
        entries = self._gateway.link.reported_entries
        request = PermitRequest(endpoint_id, self._number, tuple(waits_ms), entries)
        self._gateway.send_to_leader(request)
        self._gateway.clock.callLater(
            REPLY_TIMEOUT_S, self._on_timeout, endpoint_id, permits, self._number
        )

    def _on_timeout(self, endpoint_id, permits, number):
        asked = permits.asked_by_number.pop(number, None)
        if asked is None:
            return
        COUNTERS.increment("gateway_permit_requests_timed_out")
        again_s = self._gateway.clock.seconds() + RETRY_S
        for exchange in asked.exchanges:
            if exchange.wish.asked_id == endpoint_id:
                exchange.wish.asked_id = ""
            exchange.wish.declined_until_s_by_id[endpoint_id] = again_s
        for exchange in asked.exchanges:
            exchange.resume()

    def _book_own(self, exchange, endpoint_id, permits, now_s):
        entries = self._gateway.link.reported_entries
        declined_until_s_by_id = exchange.wish.declined_until_s_by_id
        if not entries:
            declined_until_s_by_id[endpoint_id] = now_s + RETRY_S
            return
        # The leader withholds an equal share for each entry that is silent, not a larger one.
        ratio = min(1.0, self._gateway.link.capacity_ratio)
        interval_s = entries / (effective_per_s(self._limits.per_s(endpoint_id)) * ratio)
        booked_s = permits.own_pace.book(exchange.may_wait_s, interval_s, now_s)
        if booked_s is None:
            declined_until_s_by_id[endpoint_id] = permits.own_pace.next_s
            return
        COUNTERS.increment("gateway_permits_own")
        self._hand_over(exchange, permits.create(endpoint_id, booked_s, False))

    def _forget(self, endpoint_id):
        permits = self._permits_by_id.pop(endpoint_id, None)
        if permits is None:
            return
        for exchange in permits.take_pending():
            if exchange.wish.asked_id == endpoint_id:
                exchange.wish.asked_id = ""
            exchange.resume()

    def _return_expired(self, endpoint_id, permits):
        issued = permits.drop_expired(self._gateway.clock.seconds())
        if issued:
            self._gateway.send_to_leader(PermitReturn(endpoint_id, issued))
