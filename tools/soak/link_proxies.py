"""Proxies before the mailboxes of a fleet's nodes."""

from soak.plan import NODE_PORT, PEER_PORT, PROXIED_NODE_PORT, PROXIED_PEER_PORT
from soak.proxy import Proxy


class LinkProxies:
    """Silences the connections that nodes of a fleet have opened to each other.

    Parameters
    ----------
    loop : ProxyLoop
    plan : FleetPlan
    """

    def __init__(self, loop, plan):
        self._proxies_by_ip = {}
        for ip in plan.control_ips + plan.entry_ips + plan.agent_ips:
            proxies = [Proxy(loop, ip, NODE_PORT, PROXIED_NODE_PORT)]
            if ip in plan.control_ips:
                proxies.append(Proxy(loop, ip, PEER_PORT, PROXIED_PEER_PORT))
            self._proxies_by_ip[ip] = proxies

    @property
    def ips(self):
        """Return the addresses of all nodes."""
        return list(self._proxies_by_ip)

    def start(self):
        """Start listening."""
        for proxy in self._all():
            proxy.start()

    def silence_to(self, ips):
        """Silence the open connections to some nodes: one way, unless all nodes are named.

        Parameters
        ----------
        ips : iterable of str
        """
        for ip in ips:
            for proxy in self._proxies_by_ip[ip]:
                proxy.silence_open()

    def close(self):
        """Stop listening and abort all connections."""
        for proxy in self._all():
            proxy.close()

    def _all(self):
        return [proxy for proxies in self._proxies_by_ip.values() for proxy in proxies]
