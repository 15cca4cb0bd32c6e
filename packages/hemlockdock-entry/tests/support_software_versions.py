"""Fake members, and streams at endpoints of several software versions."""

import unittest

from support_gateway import (
    STREAM_PATH,
    GatewayHarness,
    endpoint,
)

from hemlockdock_core.messages import FindStreamOrigin, StreamOriginReply, StreamStarted
from hemlockdock_core.settings.member_address import MemberAddress
from hemlockdock_core.stream_origins import StreamOrigin, StreamOriginStore

MODEL = b"X-Use-Model: m\r\n"
EVENT_1 = b"id: 1\ndata: x\n\n"
EVENT_2 = b"id: 2\ndata: y\n\n"
LAST_CHUNK = b"0\r\n\r\n"
PORT_BY_ID = {"x": 3, "y": 4, "z": 5}


class FakeMembers:
    """Fake control members that keep origins, each on its own."""

    def __init__(self, count=3):
        self.addresses = [
            MemberAddress(f"c{number}", f"tcp://127.0.0.{number}:1", "") for number in range(count)
        ]
        self.store_by_address = {item.node_address: StreamOriginStore() for item in self.addresses}
        self.silent = set()
        self.only_origin = StreamOrigin("", "")

    def attach(self, harness):
        harness.link.origin_members = self.addresses

    def exchange_messages(self, harness, now_s=0.0):
        """Deliver what a gateway has sent, and answer its questions."""
        sent, harness.sent_messages[:] = list(harness.sent_messages), []
        for address, message in sent:
            if address in self.silent or address not in self.store_by_address:
                continue
            store = self.store_by_address[address]
            if isinstance(message, StreamStarted):
                origin = StreamOrigin(message.pool, message.software_version)
                store.record(message.request_id, origin, message.keep_ms, now_s)
            if isinstance(message, FindStreamOrigin):
                found = store.find(message.question.request_id, now_s) or self.only_origin
                reply = StreamOriginReply(message.lookup, found.pool, found.software_version)
                member = [item for item in self.addresses if item.node_address == address][0]
                harness.gateway.origin_lookup.on_reply(member.member_id, reply)


class SoftwareVersionTestCase(unittest.TestCase):
    def setUp(self):
        self.members = FakeMembers()
        self.version_by_id = {}
        self.harness = self.open_entry()
        self.client = self.harness.client()

    def open_entry(self):
        harness = GatewayHarness()
        self.members.attach(harness)
        self.put_endpoints(harness, **self.version_by_id)
        return harness

    def put_endpoints(self, harness=None, **version_by_id):
        harness = harness or self.harness
        for endpoint_id, version in version_by_id.items():
            port = PORT_BY_ID[endpoint_id]
            row = endpoint(endpoint_id, "lm", port, models=("m",), software_version=version)
            harness.put_rows(row)
        self.version_by_id.update(version_by_id)

    def make_busy(self, *endpoint_ids, harness=None):
        """Give endpoints a higher cost than the others, which are chosen unless excluded."""
        for endpoint_id in endpoint_ids:
            (harness or self.harness).gateway.health.for_endpoint(endpoint_id).in_flight += 1

    def delete_endpoint(self, endpoint_id, harness=None):
        (harness or self.harness).delete_row(f"endpoint/{endpoint_id}")
        self.version_by_id.pop(endpoint_id, None)

    def begin_stream(self, request_id=b"1"):
        """Begin a stream, and return the endpoint that has sent its first event."""
        self.client.send_request(STREAM_PATH, request_id, left_ms=12_000, extra=MODEL)
        server = self.harness.connect()
        server.begin_stream(request_id)
        server.chunk(EVENT_1)
        self.members.exchange_messages(self.harness)
        return server

    def resume(self, request_id, resumed_id, harness=None, path=STREAM_PATH, left_ms=8_000):
        """Resume a stream with a new client, deliver the questions, and return the client."""
        harness = harness or self.harness
        client = harness.client()
        name = b"X-Resumed-Request: %b\r\n" % resumed_id if resumed_id else b""
        extra = MODEL + name + b"Last-Event-Id: 1\r\n"
        client.send_request(path, request_id, left_ms=left_ms, extra=extra)
        self.members.exchange_messages(harness)
        return client

    def pending(self, harness=None):
        return [item.port for item in (harness or self.harness).reactor.connecting]
