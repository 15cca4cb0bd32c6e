"""Test that the stand-in store has the rate limits of the real one."""

import unittest

from twisted.internet.task import Clock

from hemlockdock_standins.weight_store import StandInWeightStore

STEP_S = 0.001


class StandInWeightStoreTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.store = StandInWeightStore(self.clock, loads_per_s=5.0, full_speed=4)
        self.ended_s = []

    def record_end(self, _):
        self.ended_s.append(round(self.clock.seconds(), 2))

    def run_for(self, duration_s):
        self.clock.pump([STEP_S] * int(duration_s / STEP_S))

    def test_five_loads_start_per_second(self):
        for _ in range(10):
            self.store.load_model(1.0).addCallback(self.record_end)
        self.run_for(2.0)
        gaps = [b - a for a, b in zip(self.ended_s, self.ended_s[1:], strict=False)]
        self.assertEqual(self.store.loads, 10)
        self.assertTrue(all(abs(gap - 0.2) < 0.02 for gap in gaps), gaps)

    def test_loads_beyond_four_slow_each_other_down(self):
        for _ in range(8):
            self.store.load_model(4_000.0).addCallback(self.record_end)
        self.run_for(20.0)
        # 8 loads of 4 s at the throughput of 4 loads take 8 s, and the last one starts after 1.4 s.
        self.assertEqual(len(self.ended_s), 8)
        self.assertAlmostEqual(self.ended_s[-1], 8.5, delta=0.8)
        self.assertGreater(self.ended_s[0], 5.0)

    def test_thirty_two_adapters_load_at_full_speed_and_more_are_slower(self):
        for _ in range(32):
            self.store.load_adapter().addCallback(self.record_end)
        self.run_for(0.1)
        self.assertEqual(set(self.ended_s), {0.01})
        for _ in range(64):
            self.store.load_adapter().addCallback(self.record_end)
        started_s = self.clock.seconds()
        self.run_for(0.1)
        self.assertAlmostEqual(self.ended_s[-1] - started_s, 0.014, delta=0.006)

    def test_a_slow_store_takes_longer(self):
        self.store.slow_factor = 10.0
        self.store.load_model(100.0).addCallback(self.record_end)
        self.run_for(2.0)
        self.assertEqual(self.ended_s, [1.0])


if __name__ == "__main__":
    unittest.main()
