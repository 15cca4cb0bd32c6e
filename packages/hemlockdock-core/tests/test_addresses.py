"""Test the parsing of addresses."""

import unittest

from hemlockdock_core.addresses import SocketAddress, link_ip


class AddressesTest(unittest.TestCase):
    def test_a_host_and_a_port(self):
        self.assertEqual(SocketAddress.parse("127.0.0.1:80"), SocketAddress("127.0.0.1", 80))
        self.assertEqual(SocketAddress.parse("[::1]:80"), SocketAddress("::1", 80))

    def test_the_ip_address_of_a_link(self):
        self.assertEqual(link_ip("tcp://127.0.0.1:7"), "127.0.0.1")
        self.assertEqual(link_ip("tls+tcp://[::1]:7"), "::1")


if __name__ == "__main__":
    unittest.main()
