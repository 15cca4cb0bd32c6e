"""Test what an entry records of the origins of streams."""

import unittest

from support_gateway import (
    STREAM_PATH,
)
from support_software_versions import (
    EVENT_1,
    EVENT_2,
    MODEL,
    FakeMembers,
    SoftwareVersionTestCase,
)

from hemlockdock_core.messages import StreamStarted
from hemlockdock_entry.gateway.origin_lookup import ORIGIN_COPIES


class RecordTest(SoftwareVersionTestCase):
    def test_an_origin_is_sent_to_a_few_members_with_the_first_event(self):
        self.members = FakeMembers(5)
        self.harness = self.open_entry()
        self.client = self.harness.client()
        self.put_endpoints(x="v1")
        self.client.send_request(STREAM_PATH, b"1", left_ms=12_000, extra=MODEL)
        server = self.harness.connect()
        server.begin_stream()
        self.assertEqual(self.records(), [])
        server.chunk(EVENT_1)
        server.chunk(EVENT_2)
        records = self.records()
        self.assertEqual(len(records), ORIGIN_COPIES)
        self.assertEqual(records[0], StreamStarted("1", "lm", "v1", 13_000))

    def records(self):
        sent = [message for _, message in self.harness.sent_messages]
        return [message for message in sent if isinstance(message, StreamStarted)]


if __name__ == "__main__":
    unittest.main()
