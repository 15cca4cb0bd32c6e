"""Test that the stand-in engine counts violations of invariants."""

import json
import unittest

import treq
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.trial import unittest as trial_unittest
from twisted.web.client import Agent, HTTPConnectionPool

from hemlockdock_standins.engine import EngineOptions, StandInEngine

TIMEOUT_S = 240


class StandInEngineTest(trial_unittest.TestCase):
    timeout = TIMEOUT_S

    @inlineCallbacks
    def setUp(self):
        self.engine = StandInEngine(reactor, EngineOptions(memory_mb=100))
        yield self.engine.start()
        self.addCleanup(self.engine.stop)
        pool = HTTPConnectionPool(reactor, persistent=False)
        self.agent = Agent(reactor, pool=pool)

    @inlineCallbacks
    def order(self, kind, fence, replica_id, memory_mb=60):
        order = {
            "fence": fence,
            "replica_id": replica_id,
            "model": "m",
            "version": "v",
            "memory_mb": memory_mb,
        }
        response = yield treq.post(
            f"{self.engine.url}/orders/{kind}", json.dumps(order).encode(), agent=self.agent
        )
        yield treq.content(response)
        return response.code

    @inlineCallbacks
    def test_memory_and_replicas_are_counted(self):
        self.assertEqual((yield self.order("load", 1, "r1")), 200)
        self.assertEqual((yield self.order("load", 2, "r2")), 507)
        self.assertEqual(self.engine.ledger.memory_violations, 1)
        self.assertEqual((yield self.order("unload", 3, "r1")), 200)
        self.assertEqual((yield self.order("load", 4, "r2")), 200)
        self.assertEqual(self.engine.ledger.most_loaded_by_model, {"m": 1})

    @inlineCallbacks
    def test_old_fences_are_counted_and_refused_or_accepted_by_option(self):
        yield self.order("load", 5, "r1")
        self.assertEqual((yield self.order("unload", 4, "r1")), 409)
        self.engine.options.refuses_old_fences = False
        self.assertEqual((yield self.order("unload", 4, "r1")), 200)
        self.assertEqual(self.engine.ledger.fence_violations, 2)


if __name__ == "__main__":
    unittest.main()
