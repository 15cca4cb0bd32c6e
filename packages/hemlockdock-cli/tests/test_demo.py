"""Test a whole deployment in one process, over real sockets."""

import json
import unittest

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater
from twisted.trial import unittest as trial_unittest

from hemlockdock_cli.admin_client import AdminClient
from hemlockdock_cli.demo import DemoCluster
from hemlockdock_cli.demo.caller import Caller
from hemlockdock_cli.demo.manifest import demo_manifest
from hemlockdock_cli.demo.steps import DemoSteps

CHAT_PATH = "/v1/chat/completions"
POLL_INTERVAL_S = 0.05


class DemoTest(trial_unittest.TestCase):
    timeout = 240

    def setUp(self):
        return ensureDeferred(self.start())

    async def start(self):
        self.cluster = DemoCluster(reactor)
        self.addCleanup(self.cluster.stop)
        await self.cluster.start()
        self.caller = Caller(self.cluster.entry_addresses, "test")
        self.admin = AdminClient(",".join(self.cluster.admin_addresses))

    async def until(self, check):
        while not await check():
            await deferLater(reactor, POLL_INTERVAL_S)

    async def ready(self):
        status, _ = await self.caller.send("GET", "/readyz")
        return status == 200

    async def answered(self, request):
        """Return whether a request is answered; check that a refused one is reported as not run."""
        status, body = await self.caller.send("POST", CHAT_PATH, request)
        if status != 200:
            self.assertEqual(json.loads(body)["error"]["not_run"], "true", body)
        return status == 200

    def test_every_demo_step_gives_the_expected_result(self):
        return ensureDeferred(self.run_steps())

    async def run_steps(self):
        steps = DemoSteps(reactor, self.cluster, self.caller, self.admin)
        await steps.run()
        self.assertEqual([step for step in steps.steps if not step.as_expected], [])
        self.assertEqual(self.cluster.ledger.memory_violations, 0)

    def test_a_leaving_agent_releases_the_only_replica(self):
        """The model may have only one replica, so it loads elsewhere only after it is unloaded."""
        return ensureDeferred(self.check_leaving_agent())

    async def check_leaving_agent(self):
        document = json.loads(demo_manifest(self.cluster.service.url))
        for model in document["models"]:
            model["most_replicas"] = 1
        await self.until(self.ready)
        await self.admin.request("POST", "/v1/manifest", json.dumps(document).encode())
        request = {"model": "narrator", "messages": [], "max_tokens": 4}
        await self.until(lambda: self.answered(request))
        status = await self.admin.request("GET", "/v1/status")
        holder = next(row["node_id"] for row in status["replicas"] if row["model"] == "narrator")
        await self.cluster.stop_process(holder)
        await self.until(lambda: self.answered(request))
        self.assertEqual(self.cluster.ledger.most_loaded_by_model["narrator"], 1)


if __name__ == "__main__":
    unittest.main()
