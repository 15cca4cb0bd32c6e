"""Test how a node of a fleet finds the control members and their leader."""

import unittest

from twisted.internet.task import Clock

from hemlockdock_core.messages import Frame, Heartbeat, HeartbeatAck, NodeInfo
from hemlockdock_core.node import ControlLink
from hemlockdock_core.node.member_selector import AVOID_MEMBER_S
from hemlockdock_core.settings import parse_settings

SETTINGS = (
    "[process]\nnode_id = e\nroles = entry\nhost = h\nfailure_domain = d\n"
    "[listen]\nlinks = tcp://127.0.0.9:1\nready = 127.0.0.9:2\n"
    "[membership]\nheartbeat_ms = 500\n"
    "[fleet]\nseeds = 127.0.0.1:80, 127.0.0.2:80, 127.0.0.3:80\nnode_port = 7\n"
)
HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")


def address(ip):
    return f"tcp://{ip}:7"


class FakeTransport:
    incarnation = 1

    def __init__(self):
        self.sent = []
        self.disconnected = []

    def send(self, to, message):
        self.sent.append((to, message))

    def disconnect(self, to):
        self.disconnected.append(to)


class FleetLinkTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.transport = FakeTransport()
        info = NodeInfo("e", "entry", "h", "d", "tcp://127.0.0.9:1")
        settings = parse_settings(SETTINGS, "test")
        self.link = ControlLink(self.clock, settings, self.transport, info)
        self.link.start()

    def heartbeats(self):
        """Return the addresses of the heartbeats sent since the last call."""
        sent = [to for to, message in self.transport.sent if isinstance(message, Heartbeat)]
        self.transport.sent.clear()
        return sent

    def acknowledge(self, ip, leader=None, members=HOSTS, entries=0, keeps_origins=False):
        sequence = self.link._sequence
        body = HeartbeatAck(
            sequence,
            0,
            True,
            True,
            [address(member) for member in members],
            address(leader) if leader else "",
            entries,
            keeps_origins,
        )
        self.link.handle(Frame(1, ip, 1, address(ip), body))

    def test_members_that_do_not_keep_stream_origins_are_sent_nothing_about_them(self):
        self.assertEqual(self.link.origin_members, [])
        self.acknowledge(HOSTS[0], HOSTS[0])
        self.assertEqual(self.link.origin_members, [])
        self.acknowledge(HOSTS[0], HOSTS[0], keeps_origins=True)
        known = [member.node_address for member in self.link.origin_members]
        self.assertEqual(known, [address(ip) for ip in HOSTS])
        self.acknowledge(HOSTS[1], HOSTS[1])
        self.assertEqual(self.link.origin_members, [])

    def test_a_node_selects_the_leader_that_any_member_names(self):
        first = self.heartbeats()[0]
        leader = next(ip for ip in HOSTS if address(ip) != first)
        responder = first.partition("://")[2].partition(":")[0]
        self.acknowledge(responder, leader)
        self.clock.advance(0.5)
        self.assertEqual(self.heartbeats(), [address(leader)])

    def test_a_node_with_a_silent_leader_asks_all_members(self):
        self.acknowledge("127.0.0.1", "127.0.0.1")
        self.heartbeats()
        self.clock.advance(0.5)
        self.assertEqual(self.heartbeats(), [address("127.0.0.1")])
        self.clock.advance(0.5)
        self.assertEqual(sorted(self.heartbeats()), [address(ip) for ip in HOSTS])

    def test_a_node_without_a_leader_asks_all_members_often(self):
        """After a shutdown of the whole deployment, most nodes start before control does."""
        self.assertEqual(len(self.heartbeats()), 1)
        self.clock.pump([0.1] * 4)
        self.assertEqual(sorted(self.heartbeats()), sorted(2 * [address(ip) for ip in HOSTS]))
        self.acknowledge("127.0.0.1", "127.0.0.1")
        self.clock.pump([0.1] * 4)
        self.assertLessEqual(len(self.heartbeats()), 1)

    def test_a_node_with_a_silent_leader_asks_all_members_often(self):
        self.acknowledge("127.0.0.1", "127.0.0.1")
        self.clock.pump([0.1] * 6)
        self.heartbeats()
        self.clock.pump([0.1] * 6)
        self.assertGreaterEqual(len(self.heartbeats()), 3 * len(HOSTS))

    def test_a_leader_dropped_for_silence_is_not_selected_again_at_once(self):
        self.acknowledge("127.0.0.1", "127.0.0.1")
        self.clock.pump([0.5] * 5)
        self.assertIn(address("127.0.0.1"), self.transport.disconnected)
        self.acknowledge("127.0.0.2", "127.0.0.1")
        self.heartbeats()
        self.clock.advance(0.5)
        self.assertNotEqual(self.heartbeats(), [address("127.0.0.1")])
        self.clock.advance(AVOID_MEMBER_S)
        self.acknowledge("127.0.0.2", "127.0.0.1")
        self.heartbeats()
        self.clock.advance(0.5)
        self.assertEqual(self.heartbeats()[0], address("127.0.0.1"))

    def test_a_node_that_was_paused_keeps_its_leader(self):
        self.acknowledge("127.0.0.1", "127.0.0.1")
        self.clock.pump([0.1] * 5)
        self.clock.advance(5.0)
        self.acknowledge("127.0.0.1", "127.0.0.1")
        self.heartbeats()
        self.clock.pump([0.1] * 6)
        self.assertEqual(set(self.heartbeats()), {address("127.0.0.1")})

    def test_a_node_that_is_paused_again_and_again_drops_a_silent_leader(self):
        self.acknowledge("127.0.0.1", "127.0.0.1")
        self.clock.pump([1.0] * 5)
        self.assertNotEqual(self.link._member_selector.current.node_address, address("127.0.0.1"))

    def test_reported_members_are_added_and_seeds_are_kept(self):
        self.acknowledge("127.0.0.1", "127.0.0.7", members=("127.0.0.7",))
        self.clock.advance(0.5)
        self.assertEqual(self.heartbeats()[-1], address("127.0.0.7"))
        self.clock.pump([0.5] * 3)
        self.assertLessEqual({address(ip) for ip in HOSTS}, set(self.heartbeats()))

    def test_the_number_of_entries_never_decreases(self):
        assumed = self.link.entries
        self.assertGreater(assumed, 1)
        self.acknowledge("127.0.0.1", entries=30)
        self.acknowledge("127.0.0.1", entries=2)
        self.assertEqual(self.link.entries, 30)


class FleetSettingsTest(unittest.TestCase):
    def test_fractions_are_parsed_and_empty_values_mean_the_default(self):
        text = SETTINGS + "retry_slack = 17.5\nretry_ratio =\ngrace_s = 6.5\nfirst_start =\n"
        fleet = parse_settings(text, "test").fleet
        self.assertEqual((fleet.retry_slack, fleet.retry_ratio), (17.5, 0.2))
        self.assertEqual((fleet.grace_s, fleet.first_start), (6.5, False))


if __name__ == "__main__":
    unittest.main()
