"""Construction of the service of each role."""

import importlib

from hemlockdock_core.links.link_tls import LinkTls
from hemlockdock_core.metrics.listener import MetricsListener
from hemlockdock_core.settings.sections import Role

# Control starts first and stops last, so that it is available to the other roles of the process.
START_ORDER = (Role.CONTROL, Role.AGENT, Role.ENTRY)
# Named by strings, so that a process imports only the modules of its own roles.
SERVICE_BY_ROLE = {
    Role.CONTROL: ("hemlockdock_control.service", "ControlService"),
    Role.AGENT: ("hemlockdock_agent.service", "AgentService"),
    Role.ENTRY: ("hemlockdock_entry.service", "EntryService"),
}
FLEET_SERVICE_BY_ROLE = {
    Role.CONTROL: ("hemlockdock_control.fleet", "FleetControlService"),
    Role.AGENT: ("hemlockdock_agent.fleet", "FleetAgentService"),
    Role.ENTRY: ("hemlockdock_entry.gateway", "GatewayService"),
}


def build_services(reactor, settings):
    """Build the services of a process, in start order.

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
    service_by_role = FLEET_SERVICE_BY_ROLE if settings.in_fleet else SERVICE_BY_ROLE
    for role in START_ORDER:
        if not settings.has_role(role):
            continue
        module, name = service_by_role[role]
        service_type = getattr(importlib.import_module(module), name)
        services.append(service_type(reactor, settings, tls=tls))
    if settings.in_fleet and settings.listen.metrics:
        services.append(MetricsListener(reactor, settings))
    return services
