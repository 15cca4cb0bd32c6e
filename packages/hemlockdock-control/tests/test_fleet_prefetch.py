"""Test which models are loaded from the weight store before anybody asks for them."""

import unittest

import msgspec
from support_fleet import NOW_S, ChoiceCase, demand, pool, report, spec, view

from hemlockdock_control.fleet.engine_view import PendingChange
from hemlockdock_control.fleet.model_choice import ModelChoice
from hemlockdock_core.messages import (
    ChangeModels,
)
from hemlockdock_core.rows import ModelSpec


class PrefetchTest(ChoiceCase):
    def test_the_model_with_most_adapters_is_prefetched(self):
        many = msgspec.structs.replace(spec("many"), adapters=4)
        self.models = [spec("few"), many]
        self.views = {"x": view("x", report())}
        self.history.observe(self.views.values(), NOW_S - 1.0)
        chosen = ModelChoice(pool(*self.models), self.views, self.board, self.history, NOW_S)
        self.assertEqual([choice.model.name for choice in chosen.choices()], ["many"])

    def prefetched_count(self, store_load_ms):
        """Return how many models are prefetched without any demand, all loads starting at once."""
        names = ("a", "b", "c", "d")
        self.models = [ModelSpec(name, 34.0, 0, 0.0, store_load_ms, 390, 510) for name in names]
        self.views = {name: view(name, report()) for name in ("w", "x", "y", "z")}
        self.history.observe(self.views.values(), NOW_S - 1.0)
        fetched = []
        for _ in names:
            chosen = ModelChoice(pool(*self.models), self.views, self.board, self.history, NOW_S)
            for choice in chosen.choices():
                message = ChangeModels(1, 1, choice.endpoint_id, (), choice.model.name)
                ready_s = NOW_S + choice.takes_s
                pending = PendingChange(message, 1, choice.source, NOW_S, ready_s)
                self.views[choice.endpoint_id] = view(
                    choice.endpoint_id, report(busy=True), pending
                )
                fetched.append(choice.model.name)
        return len(fetched)

    def test_prefetching_is_limited_to_12_s_of_sequential_loads(self):
        """The store may support a single load, and other models will be requested later."""
        self.assertEqual(self.prefetched_count(6_000), 2)

    def test_a_guess_does_not_take_the_store_while_clients_ask_for_what_only_it_has(self):
        self.assertEqual(self.prefetched_count(13_200), 1)

    def test_a_model_with_a_longer_load_is_prefetched_alone_from_a_measured_store(self):
        self.history.store.is_measured = True
        self.history.store.concurrency_limit = 1
        self.assertEqual(self.prefetched_count(13_200), 1)

    def test_what_an_unlisted_host_has_is_not_prefetched(self):
        self.models = [spec("a", store_load_ms=13_200)]
        self.views = {"x": view("x", report())}
        self.history.observe(self.views.values(), NOW_S - 1.0)
        self.history.observe_reports({"x": frozenset(), "y": frozenset({"a"})}, NOW_S - 1.0)
        self.assertEqual(self.choices_now(), [])
        self.history.observe_reports({"x": frozenset()}, NOW_S)
        self.assertEqual(self.choices_now(), ["a"])

    def test_prefetching_does_not_wait_for_the_directory_once_agents_have_reported(self):
        self.models = [spec("a", store_load_ms=13_200)]
        self.views = {"x": view("x", report())}
        self.history.observe_reports({"x": frozenset(), "y": frozenset()}, NOW_S - 1.0)
        self.history.observe(self.views.values(), NOW_S)
        self.assertEqual(self.choices_now(), ["a"])

    def test_nothing_is_prefetched_while_agents_still_report_for_the_first_time(self):
        self.models = [spec("a", store_load_ms=13_200)]
        self.views = {"x": view("x", report())}
        self.history.observe(self.views.values(), NOW_S)
        self.history.observe_reports({"x": frozenset(), "y": frozenset()}, NOW_S - 0.5)
        self.assertEqual(self.choices_now(), [])

    def test_a_new_leader_prefetches_no_guess_once_clients_have_asked(self):
        self.models = [spec("a", store_load_ms=13_200), spec("asked", store_load_ms=13_200)]
        self.views = {"x": view("x", report())}
        self.history.observe(self.views.values(), NOW_S - 1.0)
        self.report_demand(demand("asked", 9))
        self.assertNotIn("a", self.choices_now())

    def choices_now(self):
        chosen = ModelChoice(pool(*self.models), self.views, self.board, self.history, NOW_S)
        return [choice.model.name for choice in chosen.choices()]


if __name__ == "__main__":
    unittest.main()
