"""Test the bound on what the weight store can serve, against all schedules of small cases."""

import itertools
import random
import unittest

from hemlockdock_cli.lab.store_bound import AbsentModel, most_names_served

LOAD_S = 10.0


def best_by_search(models, first_load_s):
    """Return the most names that any order of loads serves."""
    best = 0
    for order in itertools.permutations(models):
        served = 0
        end_s = first_load_s
        for item in order:
            begun_s = max(end_s, item.known_s)
            if begun_s + LOAD_S <= item.last_useful_s:
                end_s = begun_s + LOAD_S
                served += item.names
        best = max(best, served)
    return best


class StoreBoundTest(unittest.TestCase):
    def test_it_is_what_the_best_of_all_schedules_serves(self):
        rng = random.Random(7)
        for _ in range(200):
            models = [
                AbsentModel(str(number), rng.randint(1, 9), rng.uniform(-5.0, 60.0))
                for number in range(rng.randint(0, 6))
            ]
            first_load_s = rng.uniform(-10.0, 5.0)
            expected = best_by_search(models, first_load_s)
            self.assertEqual(most_names_served(models, first_load_s, LOAD_S), expected)

    def test_no_schedule_serves_more_where_models_leave_with_their_hosts(self):
        rng = random.Random(8)
        for _ in range(200):
            models = []
            for number in range(rng.randint(0, 6)):
                known_s = rng.choice((float("-inf"), rng.uniform(0.0, 40.0)))
                last_useful_s = rng.uniform(0.0, 60.0)
                models.append(AbsentModel(str(number), rng.randint(1, 9), last_useful_s, known_s))
            served = most_names_served(models, 0.0, LOAD_S)
            self.assertGreaterEqual(served, best_by_search(models, 0.0))
            self.assertLessEqual(served, sum(item.names for item in models))

    def test_a_model_that_leaves_is_served_only_by_a_load_that_begins_afterwards(self):
        leaving = AbsentModel("m", 3, 25.0, 12.0)
        absent = [AbsentModel(str(number), 1, 25.0) for number in range(2)]
        self.assertEqual(most_names_served([leaving], 0.0, LOAD_S), 3)
        self.assertEqual(most_names_served([leaving, *absent], 0.0, LOAD_S), 4)
        late = AbsentModel("m", 3, 21.9, 12.0)
        self.assertEqual(most_names_served([late], 0.0, LOAD_S), 0)

    def test_a_load_that_ends_too_late_serves_nothing(self):
        self.assertEqual(most_names_served([AbsentModel("m", 3, 9.9)], 0.0, LOAD_S), 0)
        self.assertEqual(most_names_served([AbsentModel("m", 3, 10.0)], 0.0, LOAD_S), 3)


if __name__ == "__main__":
    unittest.main()
