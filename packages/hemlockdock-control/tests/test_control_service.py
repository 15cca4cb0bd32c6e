"""Test control members over real sockets, with nodes, operators and malformed input."""

import hashlib
import tempfile
import unittest
from pathlib import Path

import msgspec
import pynng
import treq
from support import cluster_settings, manifest_json, settings
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import ClientCreator, Protocol
from twisted.internet.task import deferLater
from twisted.trial import unittest as trial_unittest

from hemlockdock_control.admin.limited_site import MAX_BODY_BYTES
from hemlockdock_control.service import ControlService
from hemlockdock_core.commands import ClaimRun, DecideUnload, ReadJob, SubmitJob
from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.links import MessageTransport
from hemlockdock_core.messages import (
    NODE_CODEC,
    Heartbeat,
    HeartbeatAck,
    Inventory,
    InventoryModel,
    LoadOrder,
    OrderOutcome,
    OrderResult,
    Proposal,
    ProposalResult,
    TableChunk,
    TableDelta,
    WatchTable,
    Wish,
)
from hemlockdock_core.node_info import NodeInfo
from hemlockdock_core.rows import ReplicaState, RoutingTable

POLL_S = 0.02
INCARNATION = 7


@inlineCallbacks
def until(condition):
    """Wait until a condition holds, limited by the test's timeout."""
    while not condition():
        yield deferLater(reactor, POLL_S)


class FakeNode:
    """Simulate a node: watch the table, confirm load orders and count gaps in deltas."""

    def __init__(self, case, node_id, role, control_address):
        self.table = RoutingTable()
        self.results = {}
        self.gaps = 0
        self.acks = []
        self.control_address = control_address
        self.transport = MessageTransport(
            reactor, node_id, INCARNATION, NODE_CODEC, "tcp://127.0.0.1:0", self.receive
        )
        case.addCleanup(self.transport.close)
        address = self.transport.address
        memory_mb = 100 if role == "agent" else 0
        group = "default" if role == "agent" else ""
        self.info = NodeInfo(node_id, role, "host-1", "domain-a", address, "", group, memory_mb)
        self.sequence = 0

    def send_to_control(self, message):
        self.transport.send(self.control_address, message)

    def send_heartbeat(self):
        self.sequence += 1
        table = self.table
        self.send_to_control(
            Heartbeat(self.sequence, table.epoch, table.revision, False, self.info, [])
        )

    def join(self):
        self.send_heartbeat()
        self.send_to_control(WatchTable(self.table.epoch, self.table.revision))
        if self.info.role == "agent":
            self.send_to_control(Inventory([], 0))

    def receive(self, frame):
        body = frame.body
        if isinstance(body, TableChunk):
            if body.index == 0:
                self.table.clear()
            self.apply_rows(body, body.rows, [], body.revision)
        elif isinstance(body, TableDelta):
            if (body.epoch, body.from_revision) != (self.table.epoch, self.table.revision):
                self.gaps += 1
            self.apply_rows(body, body.puts, body.deletes, body.to_revision)
        elif isinstance(body, LoadOrder):
            self.send_to_control(OrderResult(body.replica_id, body.fence, OrderOutcome.DONE, "", 1))
        elif isinstance(body, ProposalResult):
            self.results[body.proposal_id] = body.result
        elif isinstance(body, HeartbeatAck):
            self.acks.append(body)

    def apply_rows(self, body, puts, deletes, revision):
        self.table.epoch = body.epoch
        self.table.revision = revision
        for key in deletes:
            self.table.delete(key)
        for row in puts:
            self.table.put(row)


class ServiceCase(trial_unittest.TestCase):
    timeout = 240

    def folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    @inlineCallbacks
    def start(self, count=1, extra=""):
        if count == 1:
            members = [settings(self.folder(), extra=extra)]
        else:
            members = cluster_settings([self.folder() for _ in range(count)], extra)
        self.services = [ControlService(reactor, item) for item in members]
        for service in self.services:
            service.start()
            self.addCleanup(service.stop)
        yield until(lambda: self.leader() is not None)
        yield until(lambda: all(item.replicator.leader_id for item in self.services))

    def leader(self):
        leaders = [item for item in self.services if item.replicator.is_leader]
        return leaders[0] if leaders else None

    def followers(self):
        return [item for item in self.services if not item.replicator.is_leader]

    def request(self, service, method, path, **fields):
        url = f"http://{service.admin_address}{path}"
        return treq.request(method, url, persistent=False, reactor=reactor, **fields)

    @inlineCallbacks
    def submit(self, service, number, wait_ms=0, **fields):
        path = f"/v1/manifest?wait_ms={wait_ms}"
        response = yield self.request(service, "POST", path, data=manifest_json(number, **fields))
        body = yield response.json()
        return response.code, body


class OneMemberTest(ServiceCase):
    @inlineCallbacks
    def test_manifest_numbers_accept_only_one_content(self):
        yield self.start()
        member = self.services[0]
        first = yield self.submit(member, 1)
        yield self.submit(member, 2)
        again = yield self.submit(member, 1)
        other = yield self.submit(member, 1, models=("m2",))
        self.assertEqual(first[0], 200)
        self.assertEqual(again[1]["revision"], first[1]["revision"])
        self.assertEqual((other[0], other[1]["error"]["kind"]), (409, "conflict"))
        self.assertIn(first[1]["digest"], other[1]["error"]["message"])

    @inlineCallbacks
    def test_refusal_names_every_invalid_field(self):
        yield self.start()
        bad = manifest_json(1).replace(b'"serve":"v1"', b'"serve":"v9"').replace(b'"m1"', b'" "')
        response = yield self.request(self.services[0], "POST", "/v1/manifest", data=bad)
        body = yield response.json()
        paths = [item["path"] for item in body["error"]["fields"]]
        self.assertEqual((response.code, paths), (400, ["models[0].name", "models[0].serve"]))

    @inlineCallbacks
    def test_operators_need_a_known_token_and_appear_in_the_audit(self):
        tokens = Path(self.folder()) / "tokens"
        tokens.write_text(f"alice:{hashlib.sha256(b'secret').hexdigest()}\n")
        yield self.start(extra=f"tokens_file = {tokens}")
        member = self.services[0]
        codes = []
        for header in ({}, {"Authorization": "Bearer wrong"}, {"Authorization": "Bearer secret"}):
            response = yield self.request(
                member, "POST", "/v1/manifest?wait_ms=0", data=manifest_json(1), headers=header
            )
            codes.append(response.code)
            yield response.content()
        self.assertEqual(codes, [401, 401, 200])
        record = member.machine.state.audit.select(kind="manifest")[0]
        self.assertEqual(record.who, "alice")

    @inlineCallbacks
    def test_malformed_input_does_not_stop_the_service(self):
        yield self.start()
        member = self.services[0]
        host, _, port = member.admin_address.rpartition(":")
        for data in (
            b"\x00\xff\r\n\r\n",
            b"POST /v1/manifest HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        ):
            raw = yield ClientCreator(reactor, Protocol).connectTCP(host, int(port))
            raw.transport.write(data)
            raw.transport.loseConnection()
        head = f"POST /v1/manifest HTTP/1.1\r\nContent-Length: {MAX_BODY_BYTES + 1}\r\n\r\n"
        answer = ResponseCollector()
        raw = yield ClientCreator(reactor, lambda: answer).connectTCP(host, int(port))
        raw.transport.write(head.encode())
        yield until(lambda: answer.closed)
        self.assertIn(b" 413 ", answer.data)
        socket = pynng.Push0(dial=member.node_address, block_on_dial=True)
        self.addCleanup(socket.close)
        socket.send(b"\xc1 not a frame")
        node = FakeNode(self, "entry-1", "entry", member.node_address)
        node.transport._mailbox.address = "ipc:///nowhere"
        node.send_to_control(Heartbeat(1, 0, 0, False, node.info, []))
        response = yield self.request(member, "GET", "/healthz")
        yield response.content()
        self.assertEqual(response.code, 200)

    @inlineCallbacks
    def test_invalid_node_messages_do_not_affect_other_nodes(self):
        yield self.start()
        member = self.services[0]
        good = FakeNode(self, "entry-1", "entry", member.node_address)
        agent = FakeNode(self, "agent-1", "agent", member.node_address)
        agent.send_to_control(Inventory([InventoryModel("r1", "m1", "v1", 2**63, 1, [])] * 3, 1))
        agent.info = msgspec.structs.replace(agent.info, memory_mb=2**63)
        agent.send_heartbeat()
        claim = ClaimRun("key", "body", "entry-1", INCARNATION, "r1", "s1", 2**62, 1)
        good.send_to_control(Proposal("bad", claim))
        claim = msgspec.structs.replace(claim, retention_s=60)
        good.send_to_control(Proposal("good", claim))
        good.join()
        yield until(lambda: member.machine.state.nodes.current("entry-1", INCARNATION))
        yield until(lambda: "good" in good.results)
        self.assertNotIn("bad", good.results)
        self.assertNotIn("agent-1", member.machine.state.nodes.record_by_id)
        member.machine.state.snapshot()

    @inlineCallbacks
    def test_node_proposals_of_decisions_are_refused(self):
        yield self.start()
        node = FakeNode(self, "entry-1", "entry", self.services[0].node_address)
        node.send_to_control(Proposal("p", DecideUnload("r1", 1, "mine")))
        yield until(lambda: "p" in node.results)
        self.assertEqual(node.results["p"].refusal.kind, ErrorKind.BAD_REQUEST)


class ResponseCollector(Protocol):
    """Collect the bytes received."""

    def __init__(self):
        self.data = b""
        self.closed = False

    def dataReceived(self, data):
        self.data += data

    def connectionLost(self, reason):
        self.closed = True


class ThreeMembersTest(ServiceCase):
    @inlineCallbacks
    def test_followers_serve_nodes_and_operators_through_a_leader_change(self):
        yield self.start(3)
        follower = self.followers()[0]
        agent = FakeNode(self, "agent-1", "agent", follower.node_address)
        entry = FakeNode(self, "entry-1", "entry", follower.node_address)
        agent.join()
        entry.join()
        code, body = yield self.submit(follower, 1)
        self.assertEqual(code, 200)
        yield until(lambda: follower.machine.state.nodes.current("agent-1", INCARNATION))
        entry.send_to_control(Wish("m1", "", 1, 20_000, 50))
        yield until(lambda: self.ready_row(entry) is not None)
        self.assertEqual((agent.gaps, entry.gaps), (0, 0))

        for node in (agent, entry):
            node.send_heartbeat()
        response = yield self.request(follower, "GET", "/v1/status")
        status = yield response.json()
        self.assertTrue(status["strict"])
        self.assertEqual(status["leader_id"], self.leader().replicator.leader_id)

        claim = ClaimRun("key", "body", "entry-1", INCARNATION, "r1", "s1", 60, 1)
        entry.send_to_control(Proposal("first", claim))
        yield until(lambda: "first" in entry.results)
        yield self.leader().stop()
        yield until(lambda: any(item.replicator.is_leader for item in self.services))
        yield until(lambda: follower.replicator.leader_id in self.live_ids())
        entry.send_to_control(Proposal("again", claim))
        yield until(lambda: "again" in entry.results)
        self.assertEqual(entry.results["again"].stream_id, "s1")
        self.assertEqual(entry.results["again"].state, "claimed")

    def ready_row(self, node):
        for row in node.table.replicas_of("m1"):
            if row.state is ReplicaState.READY:
                return row
        return None

    def live_ids(self):
        return [item.replicator.leader_id for item in self.services if item.replicator.is_leader]

    @inlineCallbacks
    def test_watcher_gets_missed_changes_or_a_full_copy(self):
        yield self.start(3)
        follower = self.followers()[0]
        node = FakeNode(self, "entry-1", "entry", follower.node_address)
        node.join()
        yield self.submit(follower, 1)
        yield until(lambda: node.table.manifest is not None)
        held_revision = node.table.revision
        follower.feed.watcher_by_address.clear()
        yield self.submit(follower, 2, models=("m1", "m2"))
        node.send_to_control(WatchTable(node.table.epoch, held_revision))
        yield until(lambda: node.table.manifest.number == 2)
        self.assertEqual(node.gaps, 0)
        self.assertEqual(sorted(node.table.model_by_name), ["m1", "m2"])
        node.send_to_control(WatchTable(12345, 99_999))
        node.table.clear()
        yield until(lambda: node.table.manifest is not None)
        yield until(lambda: follower.machine.state.changes.revision == node.table.revision)
        rows = {row.key: row for row in node.table.rows()}
        self.assertEqual(rows, follower.machine.state.changes.row_by_key)

    @inlineCallbacks
    def test_only_the_caller_of_a_job_can_read_it(self):
        yield self.start(3)
        node = FakeNode(self, "entry-1", "entry", self.followers()[0].node_address)
        job = SubmitJob("j1", "caller-1", "m1", "/v1", b"{}", 2**52, 60, True, 1)
        node.send_to_control(Proposal("submit", job))
        yield until(lambda: "submit" in node.results)
        node.send_to_control(Proposal("mine", ReadJob("j1", "caller-1")))
        node.send_to_control(Proposal("other", ReadJob("j1", "caller-2")))
        yield until(lambda: {"mine", "other"} <= set(node.results))
        self.assertEqual(node.results["mine"].state, "waiting")
        self.assertEqual(node.results["other"].refusal.kind, ErrorKind.UNKNOWN_JOB)


if __name__ == "__main__":
    unittest.main()
