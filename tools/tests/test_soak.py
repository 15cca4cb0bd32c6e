"""Test the fault schedule, proxy and checks of the soak test, and run one short seed."""

import socket
import sys
import unittest
from pathlib import Path

TOOLS = Path(__file__).parent.parent
sys.path.insert(0, str(TOOLS))

from soak.clients import Resumption, SentRequest  # noqa: E402
from soak.faults import START_S, FaultKind, draw_faults  # noqa: E402
from soak.http_calls import Response  # noqa: E402
from soak.oracle import (  # noqa: E402
    STREAM_EVENTS,
    engine_breaches,
    process_breaches,
    request_breaches,
    resumption_breaches,
    route_breaches,
)
from soak.plan import FleetPlan  # noqa: E402
from soak.proxy import Harm, Proxy, ProxyLoop  # noqa: E402
from soak.run import SoakRun  # noqa: E402

from hemlockdock_core.wire import EngineOrder, OrderAction  # noqa: E402
from hemlockdock_standins.fleet.engine import EngineHistory  # noqa: E402

HOST = "127.0.73.1"
PROXY_PORT = 27_501
TARGET_PORT = 27_502
# One arbitrary seed, and regression seeds that once failed, each with a comment on its cause.
SEEDS = (
    1,
    7301,  # An endpoint's 408 after a run was passed on as a promise.
)
DURATION_S = 6.0


def ledger(*runs, orders=(), most_models=1):
    return EngineHistory("e", list(runs), list(orders), most_models)


def order(holder="a", fence=1):
    return EngineOrder(OrderAction.LOAD, "m", "", 0, holder, fence)


def sent(request_id, kind="write", status=200, body=None, signature=""):
    body = b"ran " + request_id.encode() if body is None else body
    return SentRequest(request_id, kind, 0.0, Response(status, body, signature))


class RequestOracleTest(unittest.TestCase):
    def rules(self, item, *runs):
        return [breach.rule for breach in request_breaches([item], [ledger(*runs)])]

    def test_complete_response_with_own_signature_passes(self):
        self.assertEqual(self.rules(sent("r", signature="e.1"), "r"), [])
        stream = sent("r", "live", 200, STREAM_EVENTS, "e.1")
        self.assertEqual(self.rules(stream, "r"), [])

    def test_detects_a_stream_joined_from_two_versions(self):
        versions = {"e": "v1", "f": "v2"}
        first = sent("r", "told", signature="e.1")
        for signature, status, expected in (
            ("e.2", 200, []),
            ("f.1", 200, ["one version in a stream"]),
            ("", 503, []),
        ):
            resumed = sent("s", "resumed", status, signature=signature)
            found = resumption_breaches([Resumption(first, resumed)], versions)
            self.assertEqual([breach.rule for breach in found], expected)

    def test_detects_a_second_run(self):
        self.assertIn("at most once", self.rules(sent("r", signature="e.1"), "r", "r"))
        self.assertEqual(self.rules(sent("r", "read", signature="e.1"), "r", "r"), [])

    def test_detects_refusal_of_a_request_that_ran(self):
        self.assertEqual(self.rules(sent("r", status=503), "r"), ["a refusal is true"])
        self.assertEqual(self.rules(sent("r", status=502), "r"), [])

    def test_detects_wrong_or_truncated_body(self):
        for kind, body in (("write", b"ran q"), ("live", STREAM_EVENTS[:-3])):
            found = self.rules(sent("r", kind, 200, body, "e.1"), "r")
            self.assertEqual(found, ["whole answers"])

    def test_detects_foreign_signature_and_unsent_request(self):
        found = self.rules(sent("r", signature="e.2"), "r", "q")
        self.assertEqual(
            found, ["no request runs that no client sent", "answers bear their own mark"]
        )


class OtherOracleTest(unittest.TestCase):
    def test_detects_two_holders_decreasing_fences_and_too_many_models(self):
        orders = [order("a", 2), order("b", 1)]
        found = engine_breaches([ledger(orders=orders, most_models=2)])
        self.assertEqual(
            [breach.rule for breach in found], ["memory", "one holder", "fences never fall"]
        )

    def test_detects_stale_read_and_lost_acknowledged_change(self):
        found = route_breaches([(1.0, 5)], [(0.5, 3), (1.5, 3)], {3, 5}, 3)
        self.assertEqual(
            [breach.rule for breach in found],
            ["reads are never old", "nothing acknowledged is lost"],
        )

    def test_detects_a_process_that_ended_by_itself(self):
        self.assertEqual(list(process_breaches([])), [])
        found = process_breaches([-1])
        self.assertEqual([breach.rule for breach in found], ["no process ends by itself"])

    def test_detects_manifest_number_never_submitted(self):
        found = route_breaches([], [(0.5, 4)], {3}, 4)
        self.assertEqual([breach.rule for breach in found], ["only what was sent is in force"])


class FaultsTest(unittest.TestCase):
    def test_same_seed_draws_same_faults(self):
        plan = FleetPlan(entries=2, agents=2)
        self.assertEqual(draw_faults(plan, 7, 60.0), draw_faults(plan, 7, 60.0))
        self.assertNotEqual(draw_faults(plan, 7, 60.0), draw_faults(plan, 8, 60.0))

    def test_draws_every_kind_and_never_overlaps_control_faults(self):
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

    def test_draws_reloads_of_processes_that_start(self):
        plan = FleetPlan(entries=2, agents=2)
        ends = {}
        reloads = 0
        for fault in draw_faults(plan, 1, 60.0):
            if fault.kind in (FaultKind.KILL, FaultKind.STOP, FaultKind.WIPE):
                ends[fault.target] = fault.until_s
            elif fault.kind is FaultKind.RELOAD and fault.target in ends:
                reloads += ends[fault.target] <= fault.at_s <= ends[fault.target] + START_S
        self.assertGreater(reloads, 0)


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
        client_side = socket.create_connection((HOST, PROXY_PORT), timeout=10)
        server_side, _ = self.target.accept()
        server_side.settimeout(10)
        self.addCleanup(client_side.close)
        self.addCleanup(server_side.close)
        return client_side, server_side

    def test_forwards_both_directions(self):
        client_side, server_side = self.connect()
        client_side.sendall(b"ask")
        self.assertEqual(server_side.recv(9), b"ask")
        server_side.sendall(b"answer")
        self.assertEqual(client_side.recv(9), b"answer")

    def test_reset_closes_open_connections(self):
        client_side, _ = self.connect()
        self.proxy.set_harm(Harm.RESET)
        with self.assertRaises(ConnectionError):
            if not client_side.recv(9):
                raise ConnectionResetError

    def test_reset_closes_a_connection_being_established(self):
        """The upstream listener may accept a connection before the proxy has registered it."""
        for _ in range(50):
            client_side = socket.create_connection((HOST, PROXY_PORT), timeout=10)
            self.addCleanup(client_side.close)
            self.proxy.set_harm(Harm.RESET)
            with self.assertRaises(ConnectionError):
                if not client_side.recv(9):
                    raise ConnectionResetError
            self.proxy.set_harm(Harm.NONE)

    def test_drops_one_direction(self):
        client_side, server_side = self.connect()
        self.proxy.set_harm(Harm.CUT_ANSWERS)
        client_side.sendall(b"ask")
        self.assertEqual(server_side.recv(9), b"ask")
        server_side.sendall(b"lost")
        client_side.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            client_side.recv(9)


class SeedTest(unittest.TestCase):
    def test_seeds_have_no_breaches(self):
        for seed in SEEDS:
            result = SoakRun(seed, DURATION_S).run()
            self.assertEqual(result.breaches, [], f"seed {seed}: {result.faults}")
            self.assertGreater(result.served, 0)

    def test_members_that_are_replaced_have_no_breaches(self):
        result = SoakRun(2, DURATION_S, controls=4).run()
        self.assertEqual(result.breaches, [], f"{result.faults}")
        self.assertGreater(result.served, 0)


if __name__ == "__main__":
    unittest.main()
