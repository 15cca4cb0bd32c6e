"""Test that members of two software versions understand each other's messages."""

import unittest

import msgspec

from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.consensus.messages import PEER_CODEC, Hello, TimeoutNow
from hemlockdock_control.storage.identity import MembershipOrigin
from hemlockdock_core.messages.codec import Codec
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame
from hemlockdock_core.messages.message import Message

MEMBERS = Configuration((Member("a", "folder a", "tcp://a:1", True),))
COMMON = ("c", "folder a", "tcp://a:1", MembershipOrigin.JOINER, Configuration(), True, MEMBERS)


class EarlierHello(Message, frozen=True, tag="Hello"):
    """A hello of the version before members said that they leave."""

    cluster: str
    folder_id: str
    address: str
    standing: MembershipOrigin
    founders: Configuration
    want_reply: bool
    members: Configuration = Configuration()


class EarlierTimeoutNow(Message, frozen=True, tag="TimeoutNow"):
    """A request to take over of the version before it told of silent members."""

    term: int


EARLIER_CODEC = Codec(EarlierHello | EarlierTimeoutNow)


def frame(body):
    return Frame(PROTOCOL_VERSION, "c/a", 1, "", body)


class VersionsTest(unittest.TestCase):
    def test_a_member_of_the_earlier_version_drops_a_hello_with_more_fields(self):
        # Guards against an upgrade during which members don't know each other.
        hello = Hello(*COMMON, committed_index=7, leaving=True)
        received = EARLIER_CODEC.decode(PEER_CODEC.encode(frame(hello))).body
        self.assertEqual(msgspec.structs.astuple(received), COMMON)
        asked = EARLIER_CODEC.decode(PEER_CODEC.encode(frame(TimeoutNow(3, {"b": 500.0})))).body
        self.assertEqual(asked.term, 3)

    def test_a_hello_of_the_earlier_version_says_that_its_sender_stays(self):
        received = PEER_CODEC.decode(EARLIER_CODEC.encode(frame(EarlierHello(*COMMON)))).body
        self.assertEqual(received, Hello(*COMMON, committed_index=0, leaving=False))
        asked = PEER_CODEC.decode(EARLIER_CODEC.encode(frame(EarlierTimeoutNow(3)))).body
        self.assertEqual(asked, TimeoutNow(3, {}))


if __name__ == "__main__":
    unittest.main()
