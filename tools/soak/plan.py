"""Addresses and ports of a small fleet on loopback."""

from dataclasses import dataclass

ADMIN_PORT = 27_401
NODE_PORT = 27_402
PEER_PORT = 27_403
HTTP_PORT = 27_404
READY_PORT = 27_405
DIRECTORY_PORT = 27_406
ENGINE_PORT = 27_407
SERVICE_PORT = 27_408
PROXY_PORT = 27_409
# Ports at which nodes listen if their links run through proxies at the ports above.
PROXIED_NODE_PORT = 27_410
PROXIED_PEER_PORT = 27_411


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Addresses of the processes of a fleet.

    Attributes
    ----------
    address_prefix : str
        First three octets of every address.
    controls, entries, agents : int
        Number of processes of each role.
    uses_proxies : bool
        Whether the directory lists endpoints at ``PROXY_PORT`` instead of their own port.
    proxies_links : bool
        Whether nodes reach each other through proxies.
    versions : tuple of str
        Software versions of the engines; the last one is that of all further engines.
    """

    address_prefix: str = "127.0.71"
    controls: int = 3
    entries: int = 1
    agents: int = 1
    uses_proxies: bool = False
    proxies_links: bool = False
    versions: tuple = ("v1",)

    def address_range(self, first, count):
        """Return ``count`` consecutive addresses whose last octet starts at ``first``."""
        return [f"{self.address_prefix}.{first + number}" for number in range(count)]

    @property
    def control_ips(self):
        """Return the addresses of control members."""
        return self.address_range(1, self.controls)

    @property
    def entry_ips(self):
        """Return the addresses of entries."""
        return self.address_range(41, self.entries)

    @property
    def agent_ips(self):
        """Return the addresses that agents share with their engines."""
        return self.address_range(81, self.agents)

    @property
    def service_ips(self):
        """Return the addresses of the plain services."""
        return self.address_range(121, 2)

    @property
    def directory_ip(self):
        """Return the address of the directory."""
        return f"{self.address_prefix}.161"

    @property
    def version_by_endpoint(self):
        """Return the engines' software versions by endpoint id."""
        versions = {}
        for number, ip in enumerate(self.agent_ips):
            version = self.versions[min(number, len(self.versions) - 1)]
            versions[f"lm-{ip}:{ENGINE_PORT}"] = version
        return versions

    def listed_address(self, ip, port):
        """Return the address at which the directory lists an endpoint."""
        return f"{ip}:{PROXY_PORT if self.uses_proxies else port}"
