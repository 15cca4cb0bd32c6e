"""Test when the links between members are connected anew."""

import tempfile
import unittest
from unittest import mock

from support_fleet_members import SETTINGS

from hemlockdock_control.consensus import peer_links
from hemlockdock_control.consensus.peer_links import PeerLinks
from hemlockdock_core.settings import parse_settings

SILENT_MS = 1_500.0
FOLDER = tempfile.gettempdir()
FOUNDER_ADDRESS = "tcp://127.0.0.2:7381"


class PeerLinksTest(unittest.TestCase):
    def setUp(self):
        self.transport = mock.Mock()
        patch = mock.patch.object(peer_links, "MessageTransport", return_value=self.transport)
        self.enterContext(patch)
        text = SETTINGS.format(
            ip="127.0.0.1",
            folder=FOLDER,
            seeds="127.0.0.1:80,127.0.0.2:80",
            first_start=True,
            tolerated_losses=1,
        )
        settings = parse_settings(text, "test")
        self.links = PeerLinks(None, settings, 1, lambda *_: None, member_id="127.0.0.1")

    def reconnect(self, now_ms):
        self.transport.disconnect.reset_mock()
        self.links.reconnect_silent(now_ms, SILENT_MS)
        return [call.args[0] for call in self.transport.disconnect.call_args_list]

    def test_a_member_that_is_silent_is_connected_anew(self):
        self.links.record_contact("127.0.0.2", 0.0)
        self.assertEqual(self.reconnect(SILENT_MS - 1.0), [])
        self.assertEqual(self.reconnect(SILENT_MS), [FOUNDER_ADDRESS])
        self.assertEqual(self.reconnect(SILENT_MS + 1.0), [])
        self.assertEqual(self.reconnect(2 * SILENT_MS), [FOUNDER_ADDRESS])

    def test_the_link_to_a_host_that_lost_its_folder_is_cut_every_second_and_a_half(self):
        # Guards against the silence of the member that was there before it.
        self.links.record_contact("127.0.0.2", 0.0)
        self.links.update_address("127.0.0.2+1", FOUNDER_ADDRESS)
        for now_ms in (1_000.0, 2_000.0, 3_000.0, 4_000.0):
            self.links.record_contact("127.0.0.2+1", now_ms)
            self.assertEqual(self.reconnect(now_ms), [])


if __name__ == "__main__":
    unittest.main()
