"""Run a directory and its endpoints in one process until the process is stopped."""

import fire
from twisted.internet import reactor
from twisted.web.server import Site

from hemlockdock_core.addresses import SocketAddress
from hemlockdock_core.rows import EndpointRow
from hemlockdock_standins.fleet import FleetDirectory, FleetEngine

SLOTS = 8


def run(directory, engines, services, listed_port=0, versions="v1"):
    """Listen on all addresses and run the reactor.

    Parameters
    ----------
    directory : str
        ``ip:port`` of the directory.
    engines, services : str
        Comma-separated ``ip:port`` of each endpoint of the pools ``lm`` and ``shop``.
    listed_port : int, optional
        Port under which the directory lists all endpoints, for example that of a proxy before
        them.
    versions : str, optional
        Software versions of the engines, separated by blanks; the last one is that of all further
        engines.
    """
    endpoint_directory = FleetDirectory()
    version_of_engine = dict(zip(engines.split(","), versions.split(), strict=False))
    last_version = versions.split()[-1]
    _listen(directory, endpoint_directory)
    for pool, addresses, models in (("lm", engines, ("m0",)), ("shop", services, ())):
        for address in addresses.split(","):
            endpoint_id = f"{pool}-{address}"
            _listen(address, FleetEngine(reactor, endpoint_id, models))
            parsed = SocketAddress.parse(address)
            listed_address = f"{parsed.host}:{listed_port or parsed.port}"
            endpoint_directory.row_by_id[endpoint_id] = EndpointRow(
                endpoint_id,
                pool,
                listed_address,
                "domain-a",
                SLOTS,
                False,
                software_version=version_of_engine.get(address, last_version),
            )
    reactor.run()


def _listen(address, resource):
    parsed = SocketAddress.parse(address)
    reactor.listenTCP(parsed.port, Site(resource), interface=parsed.host)


if __name__ == "__main__":
    fire.Fire(run)
