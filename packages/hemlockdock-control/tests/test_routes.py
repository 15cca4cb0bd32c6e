"""Test route manifests in the replicated state, and their validation."""

import unittest

from support import lines_run
from support import settings as control_settings

from hemlockdock_control.state import ClusterStateMachine, encode_command
from hemlockdock_core.commands import RecordEndpoints, SubmitRoutes
from hemlockdock_core.routes import RouteManifest, route_errors
from hemlockdock_core.rows import EndpointRow, LimitsRow, PoolRow, RouteKind, RouteRow, WeightedPool


def route(name="r", prefix="/a/", pool="p", weight=1.0, timeout_ms=1_000):
    pools = (WeightedPool(pool, weight),)
    return RouteRow(name, "h", prefix, RouteKind.IDEMPOTENT, timeout_ms, 100, 1, pools)


def manifest(number, *routes):
    limits = LimitsRow(number, 1, 1, 1, 1)
    return RouteManifest(limits, routes or (route(),), (PoolRow("p", "/", 1),))


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


class RoutesTest(unittest.TestCase):
    def setUp(self):
        self.machine = ClusterStateMachine(control_settings())
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.machine.apply(self.index, encode_command(command))

    def submit(self, number, *routes):
        document = f"text {number}".encode()
        return self.apply(SubmitRoutes(manifest(number, *routes), document, "me", 1))

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
