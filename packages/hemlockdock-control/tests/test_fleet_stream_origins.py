"""Test when the leader infers where a stream began of which nothing was recorded."""

import unittest
from types import SimpleNamespace

import msgspec
from support import settings as control_settings
from twisted.internet.task import Clock

from hemlockdock_control.fleet.stream_origins import StreamOrigins
from hemlockdock_control.state import ClusterStateMachine, encode_command
from hemlockdock_core.commands import RecordEndpoints, SubmitRoutes
from hemlockdock_core.messages import FindStreamOrigin, OriginQuestion, StreamOriginReply
from hemlockdock_core.routes import RouteManifest
from hemlockdock_core.rows import (
    EndpointRow,
    LimitsRow,
    PoolRow,
    RouteKind,
    RouteRow,
    WeightedPool,
)
from hemlockdock_core.stream_origins import MAX_KEEP_MS

START_MS = 1_000_000
UNKNOWN = StreamOriginReply(1, "", "")


def route(pool="lm", prefix="/live/", name="live", weight=1.0):
    pools = (WeightedPool(pool, weight),)
    return RouteRow(name, "shop", prefix, RouteKind.STREAM, 9_000, 500, 1, pools)


class StreamOriginsTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = START_MS
        self.index = 0
        self.number = 0
        self.replicator = SimpleNamespace(has_lease=True)
        self.machine = ClusterStateMachine(control_settings())
        self.submit(route())

    def submit(self, *routes):
        self.number += 1
        pools = (PoolRow("lm", "/", 10), PoolRow("other", "/", 10))
        manifest = RouteManifest(LimitsRow(self.number, 1, 1, 1, 1), routes, pools)
        self.apply(SubmitRoutes(manifest, b"", "operator", self.now_ms))

    def record(self, gone=(), at_ms=None, pool="lm", **version_by_id):
        rows = tuple(
            EndpointRow(endpoint_id, pool, "1:1", "d", 8, False, software_version=version)
            for endpoint_id, version in version_by_id.items()
        )
        self.apply(RecordEndpoints(rows, gone, self.now_ms if at_ms is None else at_ms))

    def apply(self, command):
        self.index += 1
        self.machine.apply(self.index, encode_command(command))

    def restart(self, snapshot=None):
        snapshot = snapshot or self.machine.snapshot()
        self.machine = ClusterStateMachine(control_settings())
        self.machine.restore(self.index, snapshot)

    def ask(self, scope="shop/live/"):
        origins = StreamOrigins(self.replicator, self.machine, Clock(), lambda: self.now_ms)
        return origins.reply_to(FindStreamOrigin(1, OriginQuestion("", "lm", 0, scope)))

    def test_the_only_version_is_the_origin_from_the_first_moment_on(self):
        self.record(e="v1")
        self.assertEqual(self.ask(), StreamOriginReply(1, "lm", "v1"))

    def test_a_member_without_a_lease_infers_nothing(self):
        self.record(e="v1")
        self.replicator.has_lease = False
        self.assertEqual(self.ask(), UNKNOWN)

    def test_an_entry_that_does_not_tell_the_route_gets_nothing_inferred(self):
        self.record(e="v1")
        self.assertEqual(self.ask(scope=""), UNKNOWN)

    def test_a_version_is_ruled_out_once_no_client_waits_any_more(self):
        for change in ({"gone": ("e",)}, {"e": "v2"}):
            with self.subTest(change=change):
                self.setUp()
                self.record(e="v1", f="v2")
                self.record(**change)
                for restarts in (False, True):
                    if restarts:
                        self.restart()
                    self.assertEqual(self.ask(), UNKNOWN)
                self.now_ms += MAX_KEEP_MS
                self.assertEqual(self.ask(), UNKNOWN)
                self.now_ms += 1
                self.assertEqual(self.ask(), StreamOriginReply(1, "lm", "v2"))

    def test_a_version_of_another_pool_does_not_matter(self):
        self.record(e="v1")
        self.record(pool="other", f="v2")
        self.record(gone=("f",))
        self.assertEqual(self.ask(), StreamOriginReply(1, "lm", "v1"))

    def test_an_unknown_version_is_no_origin(self):
        self.record(e="")
        self.assertEqual(self.ask(), UNKNOWN)
        self.record(f="v1")
        self.assertEqual(self.ask(), UNKNOWN)

    def test_a_route_that_has_moved_to_another_pool_hides_where_its_streams_began(self):
        self.record(e="v1")
        self.record(pool="other", f="v2")
        self.submit(route("other"))
        for restarts in (False, True):
            if restarts:
                self.restart()
            self.assertEqual(self.ask(), UNKNOWN)
        self.now_ms += MAX_KEEP_MS + 1
        self.assertEqual(self.ask(), StreamOriginReply(1, "other", "v2"))

    def test_a_pool_without_weight_is_none_of_the_route(self):
        self.record(e="v1")
        self.record(pool="other", f="v2")
        unused = msgspec.structs.replace(
            route(), pools=(WeightedPool("lm", 1.0), WeightedPool("other", 0.0))
        )
        self.submit(unused)
        self.assertEqual(self.ask(), StreamOriginReply(1, "lm", "v1"))

    def test_an_added_route_has_requests_that_were_another_route_s(self):
        self.record(e="v1")
        self.submit(route(), route("lm", "/live/new/", "new"))
        self.assertEqual(self.ask("shop/live/new/"), UNKNOWN)
        self.assertEqual(self.ask(), StreamOriginReply(1, "lm", "v1"))

    def test_a_removed_route_leaves_its_requests_to_the_wider_one(self):
        self.record(e="v1")
        self.record(pool="other", f="v2")
        self.submit(route(), route("other", "/live/new/", "new"))
        self.submit(route())
        self.assertEqual(self.ask(), UNKNOWN)

    def test_a_timeout_that_changes_hides_nothing(self):
        self.record(e="v1")
        self.submit(msgspec.structs.replace(route(), timeout_ms=1_000))
        self.assertEqual(self.ask(), StreamOriginReply(1, "lm", "v1"))

    def test_a_route_that_is_unknown_has_no_origin(self):
        self.record(e="v1")
        self.assertEqual(self.ask("shop/none/"), UNKNOWN)

    def test_changes_of_a_build_that_commits_no_times_make_the_past_unknown(self):
        self.record(e="v1", at_ms=0)
        self.assertEqual(self.ask(), UNKNOWN)
        self.record(f="v1")
        self.assertEqual(self.ask(), UNKNOWN)
        self.now_ms += MAX_KEEP_MS
        self.assertEqual(self.ask(), StreamOriginReply(1, "lm", "v1"))

    def test_a_snapshot_of_a_build_that_kept_no_past_leaves_it_unknown(self):
        self.record(e="v1")
        image = msgspec.msgpack.decode(self.machine.snapshot())
        for name in list(image):
            if name.startswith("former_"):
                del image[name]
        self.restart(msgspec.msgpack.encode(image))
        self.assertEqual(self.ask(), UNKNOWN)
        self.record(f="v1")
        self.now_ms += MAX_KEEP_MS
        self.assertEqual(self.ask(), StreamOriginReply(1, "lm", "v1"))

    def test_the_past_that_no_client_asks_for_is_not_kept(self):
        for _ in range(10):
            self.now_ms += MAX_KEEP_MS
            self.record(e=f"v{self.now_ms}")
        self.assertLessEqual(len(self.machine.state.endpoints.former_versions.all()), 3)


if __name__ == "__main__":
    unittest.main()
