"""Run an agent in a process of its own."""

import sys

from twisted.internet import reactor

from hemlockdock_agent.service import AgentService
from hemlockdock_core.settings import parse_settings

SETTINGS = """
[process]
node_id = agent-1
roles = agent
host = host-1
failure_domain = domain-a
[control]
members = c1@{control}@tcp://127.0.0.1:2
[agent]
engine_url = {engine}
"""


def main():
    """Run until killed; arguments are a folder (unused), the engine URL and control's address."""
    text = SETTINGS.format(engine=sys.argv[2], control=sys.argv[3])
    service = AgentService(reactor, parse_settings(text, "benchmark"))
    reactor.callWhenRunning(service.start)
    reactor.run()


if __name__ == "__main__":
    main()
