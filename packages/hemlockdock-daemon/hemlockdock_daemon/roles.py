"""Build the service of each role."""

from hemlockdock_agent.service import AgentService
from hemlockdock_control.service import ControlService
from hemlockdock_core.links.link_tls import LinkTls
from hemlockdock_core.settings.sections import Role
from hemlockdock_entry.service import EntryService

# Control starts first and stops last, so that the roles beside it always find it.
START_ORDER = (Role.CONTROL, Role.AGENT, Role.ENTRY)
SERVICE_BY_ROLE = {
    Role.CONTROL: ControlService,
    Role.AGENT: AgentService,
    Role.ENTRY: EntryService,
}


def build_services(reactor, settings):
    """Build the services of a process in the order in which they start.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings

    Returns
    -------
    list of service
    """
    services = []
    tls = LinkTls.of(settings)
    for role in START_ORDER:
        if settings.has_role(role):
            services.append(SERVICE_BY_ROLE[role](reactor, settings, tls=tls))
    return services
