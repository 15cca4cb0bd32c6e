"""Test route manifests in the replicated state, and their validation."""

import math
import unittest

from support import lines_run
from support import settings as control_settings

from hemlockdock_control.state import ClusterStateMachine, encode_command
from hemlockdock_core.commands import RecordEndpoints, SubmitRoutes
from hemlockdock_core.customer_keys import key_digest
from hemlockdock_core.routes import RouteManifest, route_errors
from hemlockdock_core.rows import (
    CustomerRow,
    EndpointRow,
    LimitsRow,
    PoolRow,
    RouteKind,
    RouteRow,
    TokenQuota,
    WeightedPool,
)


def route(name="r", prefix="/a/", pool="p", weight=1.0, timeout_ms=1_000):
    pools = (WeightedPool(pool, weight),)
    return RouteRow(name, "h", prefix, RouteKind.IDEMPOTENT, timeout_ms, 100, 1, pools)


def manifest(number, *routes, customers=()):
    limits = LimitsRow(number, 1, 1, 1, 1, bool(customers))
    return RouteManifest(limits, routes or (route(),), (PoolRow("p", "/", 1),), customers)


def customer(name, *keys, quota=None):
    return CustomerRow(name, tuple(key_digest(key) for key in keys), 1, quota)


class RouteErrorsTest(unittest.TestCase):
    def paths(self, *routes):
        return [error.path for error in route_errors(manifest(1, *routes), "test")]

    def test_a_valid_manifest_has_no_errors(self):
        self.assertEqual(self.paths(route(), route("s", "/b/")), [])

    def test_every_invalid_field_is_reported(self):
        found = self.paths(
            route("a", "/a/", pool="unknown"),
            route("b", "/a/"),
            route("c", "/c/", weight=0.0),
            route("d", "/d/", timeout_ms=0),
            route("a", "/e/"),
        )
        self.assertEqual(
            found,
            [
                "routes[0].pools",
                "routes[1].prefix",
                "routes[2].pools",
                "routes[3].timeout_ms",
                "routes[4].name",
            ],
        )


class CustomerErrorsTest(unittest.TestCase):
    def paths(self, *customers):
        errors = route_errors(manifest(1, customers=customers), "test")
        return [error.path for error in errors]

    def test_valid_customers_have_no_errors(self):
        quota = TokenQuota(1.0, 0.0, 0.0)
        self.assertEqual(self.paths(customer("a", b"k", quota=quota), customer("b")), [])

    def test_every_invalid_field_of_a_customer_is_reported(self):
        # Guards against a manifest in force in which a key belongs to two customers or to none.
        found = self.paths(
            customer("a", b"k"),
            customer("a", b"k"),
            customer("", b""),
            CustomerRow("c", ("",)),
            customer("d", quota=TokenQuota(math.inf, math.nan, -1.0)),
        )
        self.assertEqual(
            found,
            [
                "customers[1].name",
                "customers[1].key_digests[0]",
                "customers[2].name",
                "customers[2].key_digests[0]",
                "customers[3].key_digests[0]",
                "customers[4].quota.per_s",
                "customers[4].quota.burst",
                "customers[4].quota.default_tokens",
            ],
        )


class RoutesTest(unittest.TestCase):
    def setUp(self):
        self.machine = ClusterStateMachine(control_settings())
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.machine.apply(self.index, encode_command(command))

    def submit(self, number, *routes, customers=()):
        document = f"text {number}".encode()
        submitted = manifest(number, *routes, customers=customers)
        return self.apply(SubmitRoutes(submitted, document, "me", 1))

    def test_the_manifest_with_the_highest_number_is_current(self):
        self.assertEqual(self.submit(4).state, "accepted")
        self.assertEqual(self.submit(9).state, "accepted")
        self.assertEqual(self.submit(7).state, "overtaken")
        self.assertEqual(self.machine.state.routes.number, 9)
        self.assertEqual(self.machine.state.routes.document, b"text 9")

    def test_other_content_under_the_current_number_changes_nothing(self):
        self.submit(4, route("a"))
        self.assertEqual(self.submit(4, route("b")).state, "overtaken")
        self.assertIn("route/a", self.machine.state.changes.row_by_key)
        self.assertNotIn("route/b", self.machine.state.changes.row_by_key)

    def test_removed_routes_are_deleted_from_the_table(self):
        self.submit(1, route("a"), route("b", "/b/"))
        before = self.machine.state.changes.revision
        self.submit(2, route("a"))
        puts, deletes = self.machine.state.changes.changes_since(before)
        self.assertEqual(deletes, ["route/b"])
        self.assertEqual([row.key for row in puts], ["limits/all"])

    def test_removed_customers_are_deleted_and_changed_ones_put_in_one_revision(self):
        # Guards against a key that stays valid, and against a table with half of a manifest.
        self.submit(1, customers=(customer("ann", b"k"), customer("bob", b"l", b"m")))
        before = self.machine.state.changes.revision
        self.submit(2, customers=(customer("bob", b"l"), customer("eve", b"m")))
        puts, deletes = self.machine.state.changes.changes_since(before)
        self.assertEqual(deletes, ["customer/ann"])
        keys = sorted(row.key for row in puts)
        self.assertEqual(keys, ["customer/bob", "customer/eve", "limits/all"])

    def test_a_snapshot_restores_customers_and_their_removal(self):
        # Guards against a key that a new member of control serves or forgets.
        quota = TokenQuota(10.0, 20.0, 700.0)
        self.submit(1, customers=(customer("ann", b"k", quota=quota), customer("bob", b"l")))
        restored = ClusterStateMachine(control_settings())
        restored.restore(self.index, self.machine.snapshot())
        rows = restored.state.changes.row_by_key
        self.assertEqual(rows, self.machine.state.changes.row_by_key)
        self.assertEqual(rows["customer/ann"], customer("ann", b"k", quota=quota))
        self.machine = restored
        self.submit(2, customers=(customer("bob", b"l"),))
        self.assertNotIn("customer/ann", restored.state.changes.row_by_key)

    def test_the_audit_trail_contains_neither_keys_nor_digests(self):
        # Guards against keys that operators without access to the manifest can read.
        self.submit(1, customers=(customer("ann", b"secret"),))
        text = str(self.machine.state.audit.all())
        self.assertNotIn("secret", text)
        self.assertNotIn(key_digest(b"secret"), text)

    def test_endpoints_are_added_and_removed_and_a_snapshot_restores_all(self):
        self.submit(3)
        row = EndpointRow("e", "p", "127.0.0.1:1", "d", 4, False)
        other = EndpointRow("f", "p", "127.0.0.1:2", "d", 4, False)
        self.apply(RecordEndpoints((row, other), (), 0))
        self.apply(RecordEndpoints((), ("f", "unknown"), 0))
        restored = ClusterStateMachine(control_settings())
        restored.restore(self.index, self.machine.snapshot())
        self.assertEqual(restored.state.endpoints.row_by_id, {"e": row})
        self.assertEqual(restored.state.routes.document, b"text 3")
        self.assertEqual(restored.state.changes.row_by_key, self.machine.state.changes.row_by_key)

    def lines_of_change(self, before, after):
        """Return the lines run by a change of routes, after two others with as many routes."""
        machine = ClusterStateMachine(control_settings())
        commands = []
        for number, routes in enumerate((before, after, before, after), start=1):
            command = SubmitRoutes(manifest(number, *routes), b"", "me", number)
            commands.append(encode_command(command))
        for index, command in enumerate(commands[:-1], start=1):
            machine.apply(index, command)
        return lines_run(lambda: machine.apply(len(commands), commands[-1]))

    def assert_linear(self, lines_of_size):
        # Twice the routes run twice the lines, and four times as many if the cost is quadratic.
        self.assertLess(lines_of_size(200), 3 * lines_of_size(100))

    def test_control_hangs_as_each_moved_route_walks_all_former_values(self):
        # Guards against a cost of a change that grows with the square of its routes.
        def lines(size):
            rows = [[route(f"r{n}", f"/{n:03}/", pool) for n in range(size)] for pool in ("p", "q")]
            return self.lines_of_change(*rows)

        self.assert_linear(lines)

    def test_control_hangs_as_each_removed_route_walks_all_others(self):
        # Guards against a cost that is the product of the removed and the remaining routes.
        def lines(size):
            kept = [route(f"r{n}", f"/{n:03}/") for n in range(size)]
            removed = [route(f"s{n}", f"/{n:03}/s/") for n in range(size)]
            return self.lines_of_change(kept + removed, kept)

        self.assert_linear(lines)

    def test_a_question_for_former_pools_walks_those_of_all_routes(self):
        # Guards against a cost of one question that grows with all that is remembered.
        def lines(size):
            machine = ClusterStateMachine(control_settings())
            for number, pool in enumerate(("p", "q"), start=1):
                rows = [route(f"r{n}", f"/{n}/", pool) for n in range(size)]
                command = SubmitRoutes(manifest(number, *rows), b"", "me", number)
                machine.apply(number, encode_command(command))
            return lines_run(lambda: machine.state.routes.pools_since("h/7/", 0))

        self.assertEqual(lines(200), lines(100))


if __name__ == "__main__":
    unittest.main()
