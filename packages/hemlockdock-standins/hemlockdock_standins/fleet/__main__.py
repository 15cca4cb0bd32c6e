"""Run a directory and some engines in one process, until it is told to stop."""

import fire
from twisted.internet import reactor
from twisted.web.server import Site

from hemlockdock_core.addresses import SocketAddress
from hemlockdock_core.rows import EndpointRow
from hemlockdock_standins.fleet import FleetDirectory, FleetEngine

SLOTS = 8


def run(directory, engines, services, listed_port=0):
    """Listen for everything.

    Parameters
    ----------
    directory : str
        ``ip:port`` of the directory.
    engines, services : str
        Comma-separated ``ip:port`` of each endpoint of the pools ``lm`` and ``shop``.
    listed_port : int, optional
        Port at which the directory lists all of them, where something stands before them.
    """
    listing = FleetDirectory()
    _listen(directory, listing)
    for pool, addresses, models in (("lm", engines, ("m0",)), ("shop", services, ())):
        for address in addresses.split(","):
            endpoint_id = f"{pool}-{address}"
            _listen(address, FleetEngine(reactor, endpoint_id, models))
            parsed = SocketAddress.parse(address)
            listed = f"{parsed.host}:{listed_port or parsed.port}"
            listing.row_by_id[endpoint_id] = EndpointRow(
                endpoint_id, pool, listed, "domain-a", SLOTS, False
            )
    reactor.run()


def _listen(address, resource):
    parsed = SocketAddress.parse(address)
    reactor.listenTCP(parsed.port, Site(resource), interface=parsed.host)


if __name__ == "__main__":
    fire.Fire(run)
