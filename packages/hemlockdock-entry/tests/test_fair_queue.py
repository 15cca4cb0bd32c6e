"""Test the order among customers when capacity is short, on virtual time."""

import random
import unittest
from dataclasses import dataclass

from support_gateway import STREAM_PATH, GatewayTestCase, endpoint
from twisted.internet.task import Clock

from hemlockdock_core.customer_keys import key_digest
from hemlockdock_core.rows import CustomerRow, LimitsRow, TokenQuota
from hemlockdock_entry.balancing.fair_queue import FairQueue
from hemlockdock_entry.balancing.queue_ticket import MAX_TOKENS, QueueTicket, share_tokens

MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
LAST_CHUNK = b"0\r\n\r\n"
SLOTS = 20
SERVICE_S = 0.2
PATIENCE_S = 2.0
DURATION_S = 14.0
# Requests per second at the usual load, 0.85 of the capacity: a few customers are large.
USUAL_PER_S = {f"c{number}": 14.0 if number < 3 else 3.3 for number in range(16)}
BURST_S = (2.0, 10.0)


def ticket_of(ticket):
    return ticket


@dataclass(slots=True)
class Served:
    """A customer's requests that arrived during the burst, and the tokens served in it."""

    arrived: int = 0
    served: int = 0
    tokens: int = 0


class Station:
    """Slots that serve tickets in the order of a queue, on virtual time."""

    def __init__(self, queue, sort=None):
        self.clock = Clock()
        self.queue = queue
        self.sort = sort or (lambda waiting: queue.sort(waiting, ticket_of))
        self.waiting = []
        self.busy = 0
        self.idle_with_waiting = 0
        self.result_by_flow = {}

    def arrive(self, flow, tokens, urgency=(0, 0)):
        now_s = self.clock.seconds()
        result = self.result_by_flow.setdefault((flow, urgency), Served())
        result.arrived += BURST_S[0] <= now_s < BURST_S[1]
        ticket = QueueTicket(urgency, flow, tokens, now_s + PATIENCE_S)
        self.waiting.append(ticket)
        self.serve()

    def serve(self):
        now_s = self.clock.seconds()
        self.waiting = [ticket for ticket in self.waiting if ticket.deadline_s > now_s]
        self.sort(self.waiting)
        while self.waiting and self.busy < SLOTS:
            ticket = self.waiting.pop(0)
            self.queue.record_start(ticket)
            self.busy += 1
            result = self.result_by_flow[ticket.flow, ticket.urgency]
            received_s = ticket.deadline_s - PATIENCE_S
            if BURST_S[0] <= received_s < BURST_S[1]:
                result.served += 1
            if BURST_S[0] <= now_s < BURST_S[1]:
                result.tokens += ticket.tokens
            self.clock.callLater(SERVICE_S, self.end)
        self.idle_with_waiting += bool(self.waiting) and self.busy < SLOTS

    def end(self):
        self.busy -= 1
        self.serve()

    def play(self, per_s_by_flow, factor_by_flow=None, urgency_by_flow=None, seed=1):
        """Send Poisson arrivals of all customers, more than usual during the burst."""
        for position, (flow, per_s) in enumerate(per_s_by_flow.items()):
            source = random.Random(f"{seed}-{position}")
            urgency = (urgency_by_flow or {}).get(flow, (0, 0))
            factor = (factor_by_flow or {}).get(flow, 1.0)
            self.arrive_next(flow, per_s, factor, urgency, source)
        while self.clock.seconds() < DURATION_S:
            self.clock.advance(0.005)
        return self

    def arrive_next(self, flow, per_s, factor, urgency, source):
        is_burst = BURST_S[0] <= self.clock.seconds() < BURST_S[1]
        delay_s = source.expovariate(per_s * (factor if is_burst else 1.0))
        tokens = source.choice((389, 755, 995))
        self.clock.callLater(delay_s, self.arrive, flow, tokens, urgency)
        self.clock.callLater(delay_s, self.arrive_next, flow, per_s, factor, urgency, source)

    def served_share(self, flow, urgency=(0, 0)):
        result = self.result_by_flow[flow, urgency]
        return result.served / result.arrived


class BurstTest(unittest.TestCase):
    def test_six_times_the_load_of_one_customer_leaves_the_others_what_they_got(self):
        """In the order of deadlines, all customers lose as much as the one that sends more."""
        for bursting in ("c0", "c9"):
            usual = Station(FairQueue()).play(USUAL_PER_S)
            factors = {bursting: 6.0 if bursting == "c0" else 20.0}
            burst = Station(FairQueue()).play(USUAL_PER_S, factors)
            for flow in USUAL_PER_S:
                if flow == bursting:
                    continue
                with self.subTest(bursting=bursting, flow=flow):
                    change = burst.served_share(flow) / usual.served_share(flow)
                    self.assertGreater(change, 0.95)
            self.assertLess(burst.served_share(bursting), 0.9)

    def test_the_load_is_one_at_which_the_deadline_order_fails(self):
        """The test above would otherwise pass with any order."""
        station = Station(FairQueue(), sort=lambda waiting: waiting.sort(key=deadline_of))
        station.play(USUAL_PER_S, {"c0": 6.0})
        others = [station.served_share(flow) for flow in USUAL_PER_S if flow != "c0"]
        self.assertLess(min(others), 0.95)

    def test_no_slot_is_idle_while_requests_wait(self):
        """Fairness must not waste capacity."""
        station = Station(FairQueue()).play(USUAL_PER_S, {"c0": 6.0})
        self.assertEqual(station.idle_with_waiting, 0)

    def test_one_customer_alone_gets_everything(self):
        """A share must not be a limit while nobody else needs the slots."""
        station = Station(FairQueue()).play({"c0": 95.0})
        self.assertGreater(station.served_share("c0"), 0.99)

    def test_customers_with_too_much_load_get_equal_tokens(self):
        """Many small requests must not get more of the capacity than few large ones."""
        station = Station(FairQueue()).play({"small": 80.0, "large": 160.0})
        tokens = [result.tokens for result in station.result_by_flow.values()]
        self.assertLess(max(tokens) / min(tokens), 1.05)

    def test_a_more_urgent_class_is_served_first(self):
        """Shares must not delay urgent requests."""
        urgency = {"urgent": (0, 0), "other": (0, 2)}
        station = Station(FairQueue()).play({"urgent": 80.0, "other": 80.0}, None, urgency)
        self.assertGreater(station.served_share("urgent"), 0.99)
        self.assertLess(station.served_share("other", (0, 2)), 0.5)


def deadline_of(ticket):
    return (ticket.urgency, ticket.deadline_s)


class FairQueueTest(unittest.TestCase):
    def order(self, queue, *tickets):
        waiting = list(tickets)
        queue.sort(waiting, ticket_of)
        return [tickets.index(ticket) for ticket in waiting]

    def test_requests_of_one_flow_are_in_the_order_of_deadlines(self):
        """A customer's own requests would otherwise miss deadlines that they could meet."""
        source = random.Random(5)
        for _ in range(50):
            tickets = [
                QueueTicket((0, source.randint(0, 2)), None, source.randint(1, 900), deadline)
                for deadline in source.choices(range(20), k=30)
            ]
            waiting = list(tickets)
            FairQueue().sort(waiting, ticket_of)
            self.assertEqual(waiting, sorted(tickets, key=deadline_of))

    def test_customers_take_turns_by_tokens(self):
        """Turns by requests would favour customers with long ones."""
        large = [QueueTicket((0, 0), "a", 400, 1.0 + number) for number in range(2)]
        small = [QueueTicket((0, 0), "b", 100, 5.0 + number) for number in range(5)]
        found = self.order(FairQueue(), *large, *small)
        self.assertEqual(found, [0, 2, 3, 4, 5, 1, 6])

    def test_requests_that_were_not_served_count_for_nothing(self):
        """A customer that retries would fall behind without having been served."""
        queue = FairQueue()
        refused = [QueueTicket((0, 0), "a", 900, 1.0) for _ in range(9)]
        queue.sort(refused, ticket_of)
        first, second = QueueTicket((0, 0), "a", 1, 2.0), QueueTicket((0, 0), "b", 1, 3.0)
        self.assertEqual(self.order(queue, second, first), [1, 0])

    def test_use_without_competition_is_not_held_against_a_customer(self):
        """It would be starved as soon as others send requests."""
        queue = FairQueue()
        for _ in range(50):
            queue.record_start(QueueTicket((0, 0), "a", 500, 1.0))
        waiting = [QueueTicket((0, 0), "ab"[n % 2], 500, float(n)) for n in range(8)]
        self.assertEqual(self.order(queue, *waiting), [1, 0, 3, 2, 5, 4, 7, 6])

    def test_a_request_that_did_not_run_is_counted_once(self):
        """A customer would pay for failures of endpoints."""
        queue = FairQueue()
        ticket = QueueTicket((0, 0), "a", 500, 1.0)
        queue.record_start(ticket)
        queue.record_start(ticket)
        other = QueueTicket((0, 0), "b", 500, 0.5)
        self.assertEqual(self.order(queue, other, ticket), [0, 1])
        self.assertEqual(self.order(queue, QueueTicket((0, 0), "a", 1, 0.1), ticket), [1, 0])

    def test_a_request_counts_the_tokens_that_it_states_within_limits(self):
        """Guards against headers that give a request no weight, or a weight without bound."""
        quota = TokenQuota(10.0, 10.0, 60.0)
        cases = (
            (b"715,280", 995),
            (b" 715 , 280 ", 995),
            (b"", 60),
            (b"7", 60),
            (b"-1,5", 60),
            (b"0,0", 1),
            (b"9" * 12 + b",1", MAX_TOKENS),
            (b"9" * 400 + b",1", 60),
            (b"1,2,3", 60),
        )
        for value, tokens in cases:
            self.assertEqual(share_tokens(value, quota), tokens, value)
        self.assertEqual(share_tokens(b""), 1)


class GatewayOrderTest(GatewayTestCase):
    """Requests of customers that wait in a gateway's model queue for one slot."""

    def setUp(self):
        super().setUp()
        self.harness.link.entries = 10
        self.sent_names = []

    def put_endpoint(self):
        self.harness.put_rows(endpoint("x", "lm", 3, models=("m", "n")))

    def send_as(self, name, model=MODEL, tokens=b"10,10", urgency=0):
        extra = b"X-Tokens: %b\r\n" % tokens
        if name is not None:
            limits = LimitsRow(1, 1_000, 10_000, 3_000, 15_000, requires_keys=True)
            digest = key_digest(name.encode())
            self.harness.put_rows(limits, CustomerRow(name, (digest,), urgency))
            extra += b"X-Customer-Key: %b\r\n" % name.encode()
        # Deadlines differ, so that ties have an order.
        self.reactor.advance(0.001)
        return self.send(STREAM_PATH, model + extra, left_ms=12_000)

    def served_numbers(self, count):
        """Serve requests one after the other; return their ids."""
        self.put_endpoint()
        server = self.harness.connect()
        numbers = []
        for _ in range(count):
            number = server.header(b"x-request-id")
            numbers.append(int(number))
            server.begin_stream(request_id=number)
            server.chunk(EVENT_1)
            server.send_bytes(LAST_CHUNK)
            self.reactor.advance(0.01)
        return numbers

    def test_a_customer_with_many_requests_does_not_hold_up_others(self):
        """The gateway must ask the fair queue for the order."""
        for name in ("a", "a", "a", "a", "b", "c"):
            self.send_as(name)
        self.assertEqual(self.served_numbers(6), [1, 5, 6, 2, 3, 4])

    def test_a_customers_requests_for_all_models_count_together(self):
        """A customer that uses many models would otherwise get a share in each."""
        for name, model in (("a", b"m"), ("a", b"n"), ("a", b"n"), ("b", b"m"), ("b", b"n")):
            self.send_as(name, b"X-Use-Model: %b\r\n" % model)
        self.assertEqual(self.served_numbers(5), [1, 4, 2, 5, 3])

    def test_a_more_urgent_customer_comes_first(self):
        """Shares must not delay urgent customers."""
        for name, urgency in (("a", 1), ("a", 1), ("b", 0), ("b", 0)):
            self.send_as(name, urgency=urgency)
        self.assertEqual(self.served_numbers(4), [3, 4, 1, 2])

    def test_without_customers_the_order_is_that_of_deadlines(self):
        """Deployments without customers would otherwise be served differently."""
        for _ in range(4):
            self.send_as(None)
        self.assertEqual(self.served_numbers(4), [1, 2, 3, 4])


if __name__ == "__main__":
    unittest.main()
