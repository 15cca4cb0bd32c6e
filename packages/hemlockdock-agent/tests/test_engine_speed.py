"""Test how an agent measures the speed of its engine."""

import unittest

from test_fleet import report

from hemlockdock_agent.fleet.engine_speed import EngineSpeed
from hemlockdock_core.wire import EngineRun


class EngineSpeedTest(unittest.TestCase):
    def setUp(self):
        self.speed = EngineSpeed()

    def observe(self, now_s, started_ms=1, **events):
        runs = tuple(EngineRun(run_id, 100, made, 0) for run_id, made in events.items())
        self.speed.observe(report(started_ms=started_ms, runs=runs), now_s)

    def play(self, per_s, until_s, started_ms=1, runs=4):
        for step in range(round(until_s * 10) + 1):
            events = {f"r{i}": 1 + int(per_s * step / 10) for i in range(runs)}
            self.observe(step / 10, started_ms, **events)

    def test_it_is_the_events_of_one_request_however_many_run(self):
        for runs in (2, 30):
            with self.subTest(runs=runs):
                self.setUp()
                self.play(16.0, 4.0, runs=runs)
                self.assertAlmostEqual(self.speed.per_s, 16.0, delta=1.0)

    def test_it_is_unknown_at_first_and_kept_while_the_engine_is_idle(self):
        self.assertIsNone(self.speed.per_s)
        self.play(16.0, 4.0)
        known = self.speed.per_s
        for second in range(5, 60):
            self.observe(float(second))
        self.assertEqual(self.speed.per_s, known)

    def test_prompts_that_are_read_do_not_look_like_a_slow_engine(self):
        for step in range(40):
            self.observe(step / 10, a=1 + step, b=0)
        self.assertAlmostEqual(self.speed.per_s, 10.0, delta=0.5)

    def test_a_restarted_engine_is_measured_anew(self):
        self.play(16.0, 4.0)
        self.observe(4.1, started_ms=2, r0=500)
        self.assertIsNone(self.speed.per_s)

    def test_reports_without_requests_or_far_apart_say_nothing(self):
        self.observe(0.0, a=1)
        self.observe(30.0, a=900)
        self.observe(30.0, a=901)
        self.assertIsNone(self.speed.per_s)


if __name__ == "__main__":
    unittest.main()
