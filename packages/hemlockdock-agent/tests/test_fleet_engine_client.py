"""Test the connections of a fleet agent to its engine, in virtual time and without sockets."""

import unittest

from twisted.internet.testing import MemoryReactorClock, StringTransport

from hemlockdock_agent.fleet.engine_client import FleetEngineClient
from hemlockdock_core.http import HttpClient
from hemlockdock_core.settings import parse_settings
from hemlockdock_core.wire import EngineOrder, EngineOrderResponse, OrderAction, load_wire

ENGINE = "127.0.0.1:8300"
PROBE_PATH = "/health"
ORDER = EngineOrder(OrderAction.LOAD, "m", "", 0, "agent", 1)


class EngineTransport(StringTransport):
    abortConnection = StringTransport.loseConnection

    def setTcpNoDelay(self, enabled):
        pass


class SilentOrdersEngine:
    """Engine that answers requests for its report, and no other requests.

    Parameters
    ----------
    reactor : MemoryReactorClock
    report_path : str
    """

    def __init__(self, reactor, report_path):
        self._reactor = reactor
        self._report_path = report_path.encode()
        self._transports = []

    def run(self):
        """Accept new connections, and answer what has arrived on all of them."""
        for _, _, factory, *_ in self._reactor.tcpClients[len(self._transports) :]:
            protocol = factory.buildProtocol(None)
            transport = EngineTransport()
            protocol.makeConnection(transport)
            self._transports.append((protocol, transport))
        for protocol, transport in self._transports:
            received = transport.value()
            transport.clear()
            if received.startswith(b"GET " + self._report_path):
                protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")


class FleetEngineClientTest(unittest.TestCase):
    def setUp(self):
        self.reactor = MemoryReactorClock()
        settings = parse_settings(
            "[process]\nnode_id = a\nroles = agent\nhost = h\nfailure_domain = d\n"
            "[listen]\nlinks = tcp://127.0.0.1:1\n"
            f"[fleet]\nseeds = 127.0.0.9:1\npool = p\nengine = {ENGINE}\n",
            "test.ini",
        )
        self.wire = load_wire(settings)
        self.wire.decode_report = bytes.decode
        self.client = FleetEngineClient(settings, self.wire, HttpClient(self.reactor))
        self.engine = SilentOrdersEngine(self.reactor, self.wire.report_path)

    def report(self):
        answers = []
        self.client.report().addCallback(answers.append)
        for _ in range(3):
            self.engine.run()
        self.reactor.advance(0.3)
        return answers

    def test_an_engine_that_leaves_an_order_unanswered_still_reports(self):
        self.client.order(ORDER, "e")
        self.assertEqual(self.report(), ["{}"])

    def test_an_engine_that_leaves_a_probe_unanswered_still_reports(self):
        self.client.endpoint_id(PROBE_PATH)
        self.assertEqual(self.report(), ["{}"])

    def test_an_unanswered_order_does_not_hold_up_later_ones_for_seconds(self):
        answers = []
        self.client.order(ORDER, "e").addCallback(answers.append)
        self.engine.run()
        self.reactor.advance(0.5)
        self.assertEqual(answers, [EngineOrderResponse.UNKNOWN])


if __name__ == "__main__":
    unittest.main()
