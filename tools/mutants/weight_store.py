"""Mutants of what control knows of the weight store, and of its use."""

from mutants.mutant import Mutant

FLEET = "packages/hemlockdock-control/hemlockdock_control/fleet/"
CONTROL_TESTS = "packages/hemlockdock-control/tests/"
STORE_CHOICE = CONTROL_TESTS + "test_fleet_store_choice.py"
PREFETCH = CONTROL_TESTS + "test_fleet_prefetch.py"
STORE_LOADS = CONTROL_TESTS + "test_fleet_store_loads.py"
CONCURRENCY = CONTROL_TESTS + "test_fleet_store_concurrency.py"

MUTANTS = [
    Mutant(
        "step in at once for a host whose engine is busy",
        FLEET + "model_choice.py",
        "load_s if load_s > LONGEST_PATIENCE_S else STORE_FALLBACK_AFTER_S",
        "STORE_FALLBACK_AFTER_S",
        STORE_CHOICE,
    ),
    Mutant(
        "start a second load in the middle of one",
        FLEET + "store_admission.py",
        "MIN_FRACTION_LEFT = 0.9",
        "MIN_FRACTION_LEFT = 0.3",
        STORE_CHOICE,
    ),
    Mutant(
        "start a second load before the store has begun the first",
        FLEET + "store_admission.py",
        " or not self._all_have_begun:",
        ":",
        STORE_CHOICE,
    ),
    Mutant(
        "measure the store beside a lost load",
        FLEET + "store_admission.py",
        "(self.active_loads, self.decided_loads) != (1, 1)",
        "self.active_loads != 1",
        STORE_LOADS,
    ),
    Mutant(
        "take the first of two loads for a measurement",
        FLEET + "store_concurrency.py",
        "        if later is not None:\n",
        "        if False:\n",
        CONCURRENCY,
    ),
    Mutant(
        "take a load that ran alone for a measurement",
        FLEET + "store_concurrency.py",
        "        self.is_measured = self.is_measured and load.concurrent_at_start > 1\n",
        "",
        CONCURRENCY,
    ),
    Mutant(
        "prefetch a guess while clients ask",
        FLEET + "model_choice.py",
        "may_prefetch(self._now_s) and not self._has_requests:",
        "may_prefetch(self._now_s):",
        PREFETCH,
    ),
    Mutant(
        "prefetch what an unlisted host has",
        FLEET + "model_choice.py",
        "if spec.name in self._history.on_reported_hosts:",
        "if spec.name in self._copies.holders_by_name:",
        PREFETCH,
    ),
    Mutant(
        "forget the loads of earlier leaders",
        FLEET + "placement.py",
        "engines.all(), specs, now_s, recorded)",
        "engines.all(), specs, now_s)",
        STORE_LOADS,
    ),
    Mutant(
        "forget loads with their endpoints",
        "packages/hemlockdock-control/hemlockdock_control/state/model_loads.py",
        "        self._remove_ended()\n",
        "        self.load_by_key.clear()\n",
        CONTROL_TESTS + "test_model_loads.py",
    ),
    Mutant(
        "lose the loads in a snapshot",
        "packages/hemlockdock-control/hemlockdock_control/state/snapshots.py",
        "        list(state.endpoints.loads.load_by_key.values()),\n",
        "        [],\n",
        CONTROL_TESTS + "test_model_loads.py",
    ),
    Mutant(
        "take what rows show after an election for overdue",
        FLEET + "store_follower.py",
        "        if self._interrupted_s is None:\n            self._estimator",
        "        if True:\n            self._estimator",
        CONTROL_TESTS + "test_fleet_store_follower.py",
    ),
    Mutant(
        "forget loads that the store goes on with",
        FLEET + "model_choice.py",
        "lost_ends_s = history.lost_loads.planned_ends_s()",
        "lost_ends_s = ()",
        STORE_LOADS,
    ),
    Mutant(
        "load elsewhere what a silent engine loads",
        FLEET + "engine_views.py",
        "        if view.coming_from_store:\n",
        "        if False:\n",
        STORE_LOADS,
    ),
    Mutant(
        "drop last copies as any others",
        FLEET + "disk_cache.py",
        "self.sole_copies / self.copies",
        "0.0",
        STORE_CHOICE,
    ),
]
