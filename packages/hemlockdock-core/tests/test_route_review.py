"""Test what a review of route manifests finds before they are submitted."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from hemlockdock_core.customer_keys import key_digest
from hemlockdock_core.errors import InvalidInputError
from hemlockdock_core.routes import (
    FindingLevel,
    RouteManifest,
    manifest_changes,
    parse_routes,
    review_routes,
    route_warnings,
)
from hemlockdock_core.rows import (
    CustomerRow,
    EngineSpec,
    LimitsRow,
    ModelSpec,
    PoolRow,
    RouteKind,
    RouteRow,
    TokenQuota,
    WeightedPool,
)
from hemlockdock_core.wire.own import WIRE

LIMITS = LimitsRow(3, 1_000, 10_000, 3_000, 15_000, True)
ROUTE = RouteRow("r", "shop", "/a/", RouteKind.IDEMPOTENT, 500, 100, 1, (WeightedPool("p", 1.0),))
MODEL = ModelSpec("m", 100.0, 0, 0.0, 10, 10, 10)
ENGINE = EngineSpec(4, 1_000, 1, 500.0, 1, 0.0, 0.0, 1.0, (MODEL,))
POOL = PoolRow("p", "/", 10, ENGINE)
DIGEST, OTHER_DIGEST = key_digest(b"one"), key_digest(b"two")
DIGESTS = (DIGEST, OTHER_DIGEST, *(key_digest(b"%d" % number) for number in range(6)))
CUSTOMER = CustomerRow("c", (DIGEST, OTHER_DIGEST), 0, TokenQuota(100.0, 50.0, 10.0))
MANIFEST = RouteManifest(LIMITS, (ROUTE,), (POOL,), (CUSTOMER,))
NEXT_LIMITS = replace(LIMITS, number=4)
MANY_ROUTES = 14_000


def manifests():
    """Generate manifests; valid values are repeated so that many manifests are valid."""
    pools = st.lists(
        st.builds(
            WeightedPool,
            st.sampled_from(["p"] * 9 + ["q"]),
            st.sampled_from([1.0] * 8 + [0.0, -1.0]),
        ),
        min_size=1,
        max_size=2,
    ).map(tuple)
    routes = st.builds(
        RouteRow,
        st.sampled_from("rstuvwxyz"),
        st.sampled_from(["shop", "SHOP", "other"]),
        st.sampled_from(["/", "/a/", "/a", ""]),
        st.sampled_from(list(RouteKind)),
        st.sampled_from([1, 2, 3, 4, 5, 6, 0, -1]),
        st.integers(0, 2),
        st.integers(0, 2),
        pools,
        st.integers(0, 2),
    )
    numbers = st.sampled_from([0.0, 1.0, 5.0] * 5 + [-1.0])
    customers = st.builds(
        CustomerRow,
        st.sampled_from(["c", "d", "e", "f", "g", ""]),
        st.lists(st.sampled_from(["", *DIGESTS]), max_size=2).map(tuple),
        st.integers(0, 2),
        st.none() | st.builds(TokenQuota, numbers, numbers, numbers),
    )
    engines = st.none() | st.builds(replace, st.just(ENGINE), slots=st.integers(-1, 1))
    return st.builds(
        RouteManifest,
        st.builds(replace, st.just(LIMITS), number=st.sampled_from([1, 4, 2**63 - 1])),
        st.lists(routes, max_size=3).map(tuple),
        engines.map(lambda engine: (replace(POOL, engine=engine),)),
        st.lists(customers, max_size=2).map(tuple),
    )


def documents():
    """Generate encoded manifests, cut off at times."""
    encoded = manifests().map(WIRE.encode_routes)
    return encoded | encoded.map(lambda data: data[: len(data) // 2]) | st.binary(max_size=20)


def paths(findings, level=FindingLevel.WARNING):
    return [finding.path for finding in findings if finding.level is level]


class RouteWarningsTest(unittest.TestCase):
    def warnings(self, **fields):
        return paths(route_warnings(replace(MANIFEST, **fields)))

    def test_nothing_is_found_in_a_consistent_manifest(self):
        self.assertEqual(route_warnings(MANIFEST), [])

    def test_contradictions_of_a_route_are_found(self):
        cases = {
            "prefix": {"prefix": "/a"},
            "timeout_ms": {"timeout_ms": 99},
            "most_endpoints": {"kind": RouteKind.AT_MOST_ONCE, "most_endpoints": 2},
            "pools": {"pools": (WeightedPool("p", 1.0), WeightedPool("p", 0.0))},
        }
        for field, changes in cases.items():
            found = self.warnings(routes=(replace(ROUTE, **changes),))
            self.assertEqual(found, [f"routes[0].{field}"])

    def test_repeatable_requests_may_have_more_endpoints(self):
        self.assertEqual(self.warnings(routes=(replace(ROUTE, most_endpoints=2),)), [])

    def test_of_routes_whose_hosts_differ_in_case_one_is_shadowed(self):
        # Entries look hosts up in lower case; validation compares them as written.
        second = replace(ROUTE, name="s", host="SHOP")
        self.assertEqual(self.warnings(routes=(ROUTE, second)), ["routes[0].host"])
        deeper = replace(second, prefix="/a/b/")
        self.assertEqual(self.warnings(routes=(ROUTE, deeper)), [])

    def test_public_routes_need_required_keys(self):
        public = (replace(ROUTE, is_public=True),)
        self.assertEqual(self.warnings(routes=public), [])
        found = self.warnings(
            routes=public, limits=replace(LIMITS, requires_keys=False), customers=()
        )
        self.assertEqual(found, ["routes[0].is_public"])

    def test_unused_pools_and_engines_that_fit_nothing_are_found(self):
        unused = PoolRow("q", "/", 0)
        self.assertEqual(self.warnings(pools=(POOL, unused)), ["pools[1]"])
        engine = replace(ENGINE, slots=0, weights_mb=99.0)
        self.assertEqual(
            self.warnings(pools=(replace(POOL, engine=engine),)),
            ["pools[0].engine.slots", "pools[0].engine.models[0].weights_mb"],
        )

    def test_customers_without_keys_or_room_for_a_request_are_found(self):
        quota = TokenQuota(9.0, 9.0, 10.0)
        found = self.warnings(customers=(CustomerRow("c", (), 0, quota),))
        expected = ["key_digests", "quota.per_s", "quota.burst"]
        self.assertEqual(found, [f"customers[0].{name}" for name in expected])
        unlimited = replace(CUSTOMER, quota=TokenQuota(0.0, 0.0, 10.0))
        self.assertEqual(self.warnings(customers=(unlimited,)), [])

    def test_many_routes_are_reviewed(self):
        routes = tuple(
            replace(ROUTE, name=f"r{number}", prefix=f"/{number}/") for number in range(MANY_ROUTES)
        )
        routes += (replace(ROUTE, name="last", host="Shop", prefix="/7/"),)
        manifest = replace(MANIFEST, routes=routes)
        reviewed, findings = review_routes(WIRE, WIRE.encode_routes(manifest), "routes", MANIFEST)
        self.assertEqual(len(reviewed.routes), MANY_ROUTES + 1)
        self.assertEqual(paths(findings), ["routes[7].host", "route/r"])
        self.assertEqual(paths(findings, FindingLevel.ERROR), ["limits.number"])


class ManifestChangesTest(unittest.TestCase):
    def changes(self, **fields):
        return manifest_changes(MANIFEST, replace(MANIFEST, limits=NEXT_LIMITS, **fields))

    def test_only_the_number_may_differ(self):
        self.assertEqual(self.changes(), [])
        for number in (2, 3):
            limits = replace(LIMITS, number=number)
            found = manifest_changes(MANIFEST, replace(MANIFEST, limits=limits))
            self.assertEqual(paths(found, FindingLevel.ERROR), ["limits.number"])

    def test_a_removed_route_names_what_takes_its_requests(self):
        self.assertIn("404", self.changes(routes=())[0].message)
        shorter = replace(ROUTE, name="s", host="Shop", prefix="/")
        removed, added = self.changes(routes=(shorter,))
        self.assertEqual((removed.level, added.level), (FindingLevel.WARNING, FindingLevel.NOTE))
        self.assertIn("go to route 's'", removed.message)

    def test_an_added_route_names_what_it_takes_requests_from(self):
        deeper = replace(ROUTE, name="s", prefix="/a/b/")
        (added,) = self.changes(routes=(ROUTE, deeper))
        self.assertEqual(added.level, FindingLevel.NOTE)
        self.assertIn("go to route 'r' now", added.message)

    def test_a_moved_route_is_a_warning_and_a_weight_a_note(self):
        (moved,) = self.changes(routes=(replace(ROUTE, prefix="/b/"),))
        self.assertEqual(moved.level, FindingLevel.WARNING)
        self.assertIn("moved", moved.message)
        pools = (WeightedPool("p", 2.0),)
        (weighted,) = self.changes(routes=(replace(ROUTE, pools=pools),))
        self.assertEqual(weighted.level, FindingLevel.NOTE)

    def test_removed_pools_and_models_are_warnings(self):
        self.assertEqual(paths(self.changes(pools=())), ["pool/p"])
        pool = replace(POOL, engine=replace(ENGINE, models=()))
        self.assertEqual(paths(self.changes(pools=(pool,))), ["pool/p"])
        self.assertEqual(paths(self.changes(pools=(replace(POOL, probe_path="/h"),))), [])

    def test_removed_and_moved_keys_are_counted_and_not_shown(self):
        less = replace(CUSTOMER, key_digests=(DIGEST,))
        (removed,) = self.changes(customers=(less,))
        self.assertIn("keys removed: 1", removed.message)
        other = CustomerRow("d", (OTHER_DIGEST,))
        moved = self.changes(customers=(less, other))
        self.assertIn("'d'", moved[0].message)
        for finding in [removed, *moved, *self.changes(customers=())]:
            self.assertNotIn(DIGEST, str(finding))
            self.assertNotIn(OTHER_DIGEST, str(finding))

    def test_only_a_lower_quota_is_a_warning(self):
        for quota, is_lower in (
            (TokenQuota(99.0, 50.0, 10.0), True),
            (TokenQuota(100.0, 49.0, 10.0), True),
            (TokenQuota(101.0, 50.0, 10.0), False),
            (None, False),
        ):
            (found,) = self.changes(customers=(replace(CUSTOMER, quota=quota),))
            self.assertEqual(found.level is FindingLevel.WARNING, is_lower)
        unlimited = replace(MANIFEST, customers=(replace(CUSTOMER, quota=None),))
        limited = replace(MANIFEST, limits=NEXT_LIMITS)
        self.assertEqual(paths(manifest_changes(unlimited, limited)), ["customer/c"])


class ReviewTest(unittest.TestCase):
    @given(documents())
    def test_errors_are_exactly_what_control_refuses(self, data):
        # Guards against a second set of rules that differs from that of control.
        try:
            parse_routes(WIRE, data, "routes")
            refused = []
        except InvalidInputError as error:
            refused = [problem.path for problem in error.errors]
        manifest, findings = review_routes(WIRE, data, "routes")
        self.assertEqual(paths(findings, FindingLevel.ERROR), refused)
        self.assertEqual(manifest is None, bool(refused))

    @given(manifests(), manifests())
    def test_no_review_fails_or_shows_a_digest(self, in_force, manifest):
        _, findings = review_routes(WIRE, WIRE.encode_routes(manifest), "routes", in_force)
        for finding in findings:
            for digest in DIGESTS:
                self.assertNotIn(digest, str(finding))


if __name__ == "__main__":
    unittest.main()
