"""Run the stand-ins of one sample deployment on the ports in its settings."""

import json
import sys

from deployment import DEPLOYMENTS
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import gatherResults, maybeDeferred
from twisted.web.server import Site

from hemlockdock_standins.engine import EngineOptions, StandInEngine, StandInLedger
from hemlockdock_standins.platform import StandInPlatform
from hemlockdock_standins.service import StandInService
from hemlockdock_standins.weight_store import StandInWeightStore

LOOPBACK = "127.0.0.1"


class StandIns:
    """Runs the stand-ins of one deployment and serves their ledger over HTTP.

    Parameters
    ----------
    deployment : Deployment
    """

    app = Klein()

    def __init__(self, deployment):
        self._deployment = deployment
        self._ledger = StandInLedger()
        self._store = StandInWeightStore(reactor)
        self._platform = StandInPlatform(reactor, port=deployment.platform_port)
        self._services = [StandInService(reactor, port=port) for port in deployment.service_ports]
        self._engines = [self._engine(index) for index in range(len(deployment.engine_ports))]

    def _engine(self, index):
        options = EngineOptions(
            host=f"{self._deployment.name}-agent-{index + 1}",
            port=self._deployment.engine_ports[index],
            refuses_old_fences=self._deployment.fencing == "refuses_old",
            load_remote_ms=800.0,
            load_disk_ms=300.0,
            token_ms=5.0,
        )
        return StandInEngine(reactor, options, self._store, self._ledger)

    def start(self):
        """Start every stand-in, then the HTTP interface.

        Returns
        -------
        Deferred
        """
        servers = [self._platform, *self._services, *self._engines]
        started = gatherResults([maybeDeferred(server.start) for server in servers])
        return started.addCallback(self._listen)

    def _listen(self, _):
        port = self._deployment.platform_port + 1
        reactor.listenTCP(port, Site(self.app.resource()), interface=LOOPBACK)
        print("ready", flush=True)

    @app.route("/ledger", methods=["GET"])
    def ledger(self, request):
        """Return the counters that the stand-ins recorded, as JSON."""
        bookings = {}
        for service in self._services:
            for key, count in service.bookings_by_key.items():
                bookings[key] = bookings.get(key, 0) + count
        return json.dumps(
            {
                "loaded_by_model": self._ledger.loaded_by_model,
                "most_loaded_by_model": self._ledger.most_loaded_by_model,
                "runs_by_key": self._ledger.runs_by_key,
                "memory_violations": self._ledger.memory_violations,
                "fence_violations": self._ledger.fence_violations,
                "overlap_violations": self._ledger.overlap_violations,
                "bookings_by_key": bookings,
                "lookups": sum(service.lookups for service in self._services),
            }
        ).encode()

    @app.route("/hosts/<host>/<state>", methods=["POST"])
    def set_host(self, request, host, state):
        """Set the state of a host in the platform's list."""
        self._platform.set_state(host, state)
        return b"{}"

    @app.route("/drop_bookings/<int:count>", methods=["POST"])
    def drop_bookings(self, request, count):
        """Leave the next ``count`` bookings at each service unanswered."""
        for service in self._services:
            service.drop_bookings = count
        return b"{}"


def main():
    """Run the stand-ins of the deployment named on the command line."""
    deployment = next(item for item in DEPLOYMENTS if item.name == sys.argv[1])
    stand_ins = StandIns(deployment)
    reactor.callWhenRunning(stand_ins.start)
    reactor.run()


if __name__ == "__main__":
    main()
