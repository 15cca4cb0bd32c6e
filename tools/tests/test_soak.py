"""Test what the soak draws, harms and judges, and run a short seed of it."""

import socket
import sys
import unittest
from pathlib import Path

TOOLS = Path(__file__).parent.parent
sys.path.insert(0, str(TOOLS))

from soak.clients import Sent  # noqa: E402
from soak.faults import FaultKind, draw_faults  # noqa: E402
from soak.fleet import Answer, FleetPlan  # noqa: E402
from soak.oracle import EVENTS, engine_breaches, request_breaches, route_breaches  # noqa: E402
from soak.proxy import Harm, Proxy, ProxyLoop  # noqa: E402
from soak.run import SoakRun  # noqa: E402

from hemlockdock_core.wire import EngineOrder, OrderAction  # noqa: E402
from hemlockdock_standins.fleet.engine import EngineHistory  # noqa: E402

HOST = "127.0.73.1"
PROXY_PORT = 27_501
TARGET_PORT = 27_502
# Seeds that once broke a promise, each with a line on its cause, and one more.
SEEDS = (1,)
SECONDS = 6.0


def ledger(*runs, orders=(), most_models=1):
    return EngineHistory("e", list(runs), list(orders), most_models)


def order(holder="a", fence=1):
    return EngineOrder(OrderAction.LOAD, "m", "", 0, holder, fence)


def sent(request_id, kind="write", status=200, body=None, signature=""):
    body = b"ran " + request_id.encode() if body is None else body
    return Sent(request_id, kind, 0.0, Answer(status, body, signature))


class RequestOracleTest(unittest.TestCase):
    def rules(self, item, *runs):
        return [breach.rule for breach in request_breaches([item], [ledger(*runs)])]

    def test_a_whole_answer_under_its_own_mark_is_right(self):
        self.assertEqual(self.rules(sent("r", signature="e.1"), "r"), [])
        stream = sent("r", "live", 200, EVENTS, "e.1")
        self.assertEqual(self.rules(stream, "r"), [])

    def test_a_second_run_is_found(self):
        self.assertIn("at most once", self.rules(sent("r", signature="e.1"), "r", "r"))
        self.assertEqual(self.rules(sent("r", "read", signature="e.1"), "r", "r"), [])

    def test_a_refusal_of_what_ran_is_found(self):
        self.assertEqual(self.rules(sent("r", status=503), "r"), ["a refusal is true"])
        self.assertEqual(self.rules(sent("r", status=502), "r"), [])

    def test_a_body_that_is_another_or_not_whole_is_found(self):
        for kind, body in (("write", b"ran q"), ("live", EVENTS[:-3])):
            found = self.rules(sent("r", kind, 200, body, "e.1"), "r")
            self.assertEqual(found, ["whole answers"])

    def test_anothers_mark_and_a_run_that_nobody_sent_are_found(self):
        found = self.rules(sent("r", signature="e.2"), "r", "q")
        self.assertEqual(
            found, ["no request runs that no client sent", "answers bear their own mark"]
        )


class OtherOracleTest(unittest.TestCase):
    def test_orders_of_two_holders_falling_fences_and_too_many_models_are_found(self):
        orders = [order("a", 2), order("b", 1)]
        found = engine_breaches([ledger(orders=orders, most_models=2)])
        self.assertEqual(
            [breach.rule for breach in found], ["memory", "one holder", "fences never fall"]
        )

    def test_an_old_read_and_a_lost_acknowledgement_are_found(self):
        found = route_breaches([(1.0, 5)], [(0.5, 3), (1.5, 3)], {3, 5}, 3)
        self.assertEqual(
            [breach.rule for breach in found],
            ["reads are never old", "nothing acknowledged is lost"],
        )

    def test_a_number_that_nobody_sent_is_found(self):
        found = route_breaches([], [(0.5, 4)], {3}, 4)
        self.assertEqual([breach.rule for breach in found], ["only what was sent is in force"])


class FaultsTest(unittest.TestCase):
    def test_a_seed_always_draws_the_same(self):
        plan = FleetPlan(entries=2, agents=2)
        self.assertEqual(draw_faults(plan, 7, 60.0), draw_faults(plan, 7, 60.0))
        self.assertNotEqual(draw_faults(plan, 7, 60.0), draw_faults(plan, 8, 60.0))

    def test_every_kind_comes_and_no_two_members_are_harmed_at_once(self):
        plan = FleetPlan(entries=2, agents=2)
        kinds, harms = set(), set()
        for seed in range(30):
            until_s = 0.0
            for fault in draw_faults(plan, seed, 60.0):
                kinds.add(fault.kind)
                harms.add(fault.harm)
                if fault.target in plan.control_ips:
                    self.assertGreaterEqual(fault.at_s, until_s)
                    until_s = fault.until_s
        self.assertEqual(kinds, set(FaultKind))
        self.assertEqual(harms, set(Harm))


class ProxyTest(unittest.TestCase):
    def setUp(self):
        self.target = socket.create_server((HOST, TARGET_PORT))
        self.addCleanup(self.target.close)
        loop = ProxyLoop()
        self.addCleanup(loop.close)
        self.proxy = Proxy(loop, HOST, PROXY_PORT, TARGET_PORT)
        self.proxy.start()
        self.addCleanup(self.proxy.close)

    def connect(self):
        near = socket.create_connection((HOST, PROXY_PORT), timeout=10)
        far, _ = self.target.accept()
        far.settimeout(10)
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        return near, far

    def test_bytes_pass_both_ways(self):
        near, far = self.connect()
        near.sendall(b"ask")
        self.assertEqual(far.recv(9), b"ask")
        far.sendall(b"answer")
        self.assertEqual(near.recv(9), b"answer")

    def test_a_reset_ends_open_connections(self):
        near, _ = self.connect()
        self.proxy.set_harm(Harm.RESET)
        with self.assertRaises(ConnectionError):
            if not near.recv(9):
                raise ConnectionResetError

    def test_a_connection_that_is_being_made_is_reset_too(self):
        """The far side has it before the proxy knows of it."""
        for _ in range(50):
            near = socket.create_connection((HOST, PROXY_PORT), timeout=10)
            self.addCleanup(near.close)
            self.proxy.set_harm(Harm.RESET)
            with self.assertRaises(ConnectionError):
                if not near.recv(9):
                    raise ConnectionResetError
            self.proxy.set_harm(Harm.NONE)

    def test_one_way_is_cut(self):
        near, far = self.connect()
        self.proxy.set_harm(Harm.CUT_ANSWERS)
        near.sendall(b"ask")
        self.assertEqual(far.recv(9), b"ask")
        far.sendall(b"lost")
        near.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            near.recv(9)


class SeedTest(unittest.TestCase):
    def test_seeds_break_no_promise(self):
        for seed in SEEDS:
            result = SoakRun(seed, SECONDS).run()
            self.assertEqual(result.breaches, [], f"seed {seed}: {result.faults}")
            self.assertGreater(result.served, 0)


if __name__ == "__main__":
    unittest.main()
