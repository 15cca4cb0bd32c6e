"""Mutants of what decides the loads of the weight store, and of what a stopping entry sends."""

from mutants.mutant import Mutant

FLEET = "packages/hemlockdock-control/hemlockdock_control/fleet/"
ENTRY = "packages/hemlockdock-entry/hemlockdock_entry/"
GATEWAY = ENTRY + "gateway/"
CONTROL_TESTS = "packages/hemlockdock-control/tests/"
ENTRY_TESTS = "packages/hemlockdock-entry/tests/"
STORE_CHOICE = CONTROL_TESTS + "test_fleet_store_choice.py"
DEMAND = CONTROL_TESTS + "test_fleet_demand.py"
MODELS = ENTRY_TESTS + "test_gateway_models.py"
DRAIN = ENTRY_TESTS + "test_gateway_drain.py"
PLANNED_STOP = ENTRY_TESTS + "test_planned_stop.py"

MUTANTS = [
    Mutant(
        "take a client with less time than its route allows for a returning one",
        GATEWAY + "request_times.py",
        "limit_ms <= (1.0 - MAX_RETRY_AFTER_FRACTION) * route.timeout_ms",
        "limit_ms <= route.timeout_ms - 100",
        MODELS,
    ),
    Mutant(
        "report what was asked for lately once only",
        GATEWAY + "local_demand.py",
        "return self.lately.at(now_s) >= MIN_REPORTED_LATELY",
        "return False",
        MODELS,
    ),
    Mutant(
        "take an entry's whole counter for recent requests",
        FLEET + "demand.py",
        "if previous is None and demand.lately is not None:",
        "if False:",
        DEMAND,
    ),
    Mutant(
        "add up what an entry reports again",
        FLEET + "demand.py",
        "change = lately - known.at(now_s)",
        "change = lately",
        DEMAND,
    ),
    Mutant(
        "forget what an entry counted before it was started anew",
        FLEET + "demand.py",
        "if previous is not None and demand.arrivals < previous.arrivals:",
        "if False:",
        DEMAND,
    ),
    Mutant(
        "consider only models with a waiting or an expected client",
        FLEET + "model_choice.py",
        "return not is_on_host and use.lately_asked(self._now_s) >= MIN_LATELY_ASKED",
        "return False",
        STORE_CHOICE,
    ),
    Mutant(
        "load what hosts have first, also from the store",
        FLEET + "load_order.py",
        "if item.is_fallback:",
        "if False:",
        STORE_CHOICE,
    ),
    Mutant(
        "decide by the first report to a new leader",
        FLEET + "model_choice.py",
        "if is_partial and asked < HIGH_DEMAND_REQUESTS:",
        "if False:",
        STORE_CHOICE,
    ),
    Mutant(
        "keep the store free while many are refused",
        FLEET + "model_choice.py",
        "if self.store.is_reserved(spec, asked, self._now_s):",
        "if self.store.is_reserved(spec, gain, self._now_s):",
        CONTROL_TESTS + "test_fleet_last_copies.py",
    ),
    Mutant(
        "prefetch a second model beside a slow load",
        FLEET + "store_admission.py",
        "return self.active_loads < _unmeasured_limit(spec)",
        "return self.active_loads < 2",
        CONTROL_TESTS + "test_fleet_prefetch.py",
    ),
    Mutant(
        "measure the store in high demand only",
        FLEET + "store_admission.py",
        "return self._may_measure(spec, now_s)",
        "return demand >= HIGH_DEMAND_REQUESTS and self._may_measure(spec, now_s)",
        STORE_CHOICE,
    ),
    Mutant(
        "send what the end of the grace would cut off",
        GATEWAY + "stop_schedule.py",
        "if exchange.deadline_s <= self.ends_s:",
        "if True:",
        DRAIN,
    ),
    Mutant(
        "refuse what has begun while the entry stops",
        GATEWAY + "stop_schedule.py",
        "if self.ends_s is None or exchange.has_started:",
        "if self.ends_s is None:",
        DRAIN,
    ),
    Mutant(
        "forget how long runs take",
        GATEWAY + "stop_schedule.py",
        "return takes_s is not None and self._clock.seconds() + takes_s <= self.ends_s",
        "return False",
        DRAIN,
    ),
    Mutant(
        "send away what can be repeated for a single long run",
        GATEWAY + "run_times.py",
        "tolerated = len(runs) // TOLERATED_ONE_IN if route.may_repeat else 0",
        "tolerated = 0",
        DRAIN,
    ),
    Mutant(
        "risk to cut off what can't be repeated",
        GATEWAY + "run_times.py",
        "tolerated = len(runs) // TOLERATED_ONE_IN if route.may_repeat else 0",
        "tolerated = len(runs) // TOLERATED_ONE_IN",
        DRAIN,
    ),
    Mutant(
        "start queued requests until the shutdown ends",
        ENTRY + "tasks/planned_stop.py",
        "if self.ends_at is None:",
        "if True:",
        PLANNED_STOP,
    ),
    Mutant(
        "send queued calls of services until the shutdown ends",
        ENTRY + "services/services.py",
        "refusal = refusal or self._coordinator.planned_stop.refusal(request, run_s)",
        "pass",
        PLANNED_STOP,
    ),
    Mutant(
        "refuse queued requests that end before the shutdown",
        ENTRY + "tasks/planned_stop.py",
        "if is_bounded and request.deadline_at <= self.ends_at:",
        "if False:",
        PLANNED_STOP,
    ),
]
