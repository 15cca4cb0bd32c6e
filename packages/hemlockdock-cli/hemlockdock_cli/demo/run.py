"""Run the demo and print the table of its steps."""

import json
import logging

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import react

from hemlockdock_cli.admin_client import AdminClient
from hemlockdock_cli.demo.caller import Caller
from hemlockdock_cli.demo.cluster import DemoCluster
from hemlockdock_cli.demo.steps import DemoSteps
from hemlockdock_cli.tables import table_lines


def run_demo(serve):
    """Run the demo.

    Parameters
    ----------
    serve : bool
        Keep the cluster running until interrupted.

    Returns
    -------
    bool
        Whether every step gave the expected result.
    """
    logging.basicConfig(level=logging.WARNING)
    finished_steps = []
    try:
        react(lambda reactor: ensureDeferred(_run(reactor, serve, finished_steps)))
    except SystemExit as stop:
        if stop.code:
            raise
    return bool(finished_steps) and all(step.as_expected for step in finished_steps)


async def _run(reactor, serve, finished_steps):
    cluster = DemoCluster(reactor)
    await cluster.start()
    caller = Caller(cluster.entry_addresses, "demo")
    admin = AdminClient(",".join(cluster.admin_addresses))
    steps = DemoSteps(reactor, cluster, caller, admin)
    await steps.run()
    finished_steps.extend(steps.steps)
    for line in table_lines([step.row() for step in steps.steps]):
        print(line)
    if serve:
        _print_addresses(cluster)
        await Deferred()
    await cluster.stop()


def _print_addresses(cluster):
    example = {"model": "narrator", "messages": [{"role": "user", "content": "hello"}]}
    print(f"entries: {', '.join(cluster.entry_addresses)}")
    print(f"admin:   {', '.join(cluster.admin_addresses)}")
    print("try:")
    print(f"  curl -N http://{cluster.entry_addresses[0]}/v1/chat/completions \\")
    print(f"    -H 'Content-Type: application/json' -d '{json.dumps(example)}'")
    print(f"  hemlockdock --admin {cluster.admin_addresses[0]} status")
