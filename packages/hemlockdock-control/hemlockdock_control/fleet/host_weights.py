"""Which weights the hosts of engines can be expected to have while reports are missing.

Entries let requests for any model wait while it is not known what some host has, so that it should
be unknown for a short time only.
"""

from hemlockdock_control.fleet.placement_history import RESTART_S

# Time within which the agent of an engine that is listed reports for the first time.
FIRST_REPORT_S = 2.5


class HostWeights:
    """Track since when engines do not respond, or are listed without any report."""

    def __init__(self):
        self._unresponsive_since_s = {}
        self._listed_since_s = {}
        self._reported_pools = set()

    def forget_all_but(self, endpoint_ids):
        """Forget since when endpoints are listed that no longer are.

        Parameters
        ----------
        endpoint_ids : collection of str
        """
        for endpoint_id in self._listed_since_s.keys() - set(endpoint_ids):
            del self._listed_since_s[endpoint_id]

    def record_report(self, report):
        """Record whether an engine responds to its agent.

        Parameters
        ----------
        report : AgentReport
        """
        self._reported_pools.add(report.body.pool)
        address = report.body.engine_address
        if report.body.answers:
            self._unresponsive_since_s.pop(address, None)
        else:
            self._unresponsive_since_s.setdefault(address, report.received_s)

    def available(self, listed, last_report, recorded, now_s):
        """Return the models that an engine could load from its host.

        Parameters
        ----------
        listed : ListedEndpoint
        last_report : AgentReport or None
            The latest report, however old.
        recorded : EndpointRow or None
            What is recorded of the endpoint now.
        now_s : float

        Returns
        -------
        tuple of str, or None
            None if it is not known.
        """
        if last_report is None:
            return self._on_unreported_host(listed, recorded, now_s)
        if last_report.body.answers:
            # An agent that is silent for longer has probably lost its host.
            is_recent = now_s - last_report.received_s < RESTART_S
            return last_report.on_host if is_recent else ()
        # An engine that has crashed usually restarts soon, with the weights on the disk.
        since_s = self._unresponsive_since_s[listed.address]
        return last_report.on_host_disk if now_s - since_s < RESTART_S else ()

    def _on_unreported_host(self, listed, recorded, now_s):
        listed_s = self._listed_since_s.setdefault(listed.endpoint_id, now_s)
        if recorded is not None and recorded.agent_address:
            return None
        is_known_pool = listed.pool in self._reported_pools
        return () if is_known_pool and now_s - listed_s > FIRST_REPORT_S else None
