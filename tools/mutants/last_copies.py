"""Mutants of what is done about models whose last copies leave with their hosts."""

from mutants.mutant import Mutant

FLEET = "packages/hemlockdock-control/hemlockdock_control/fleet/"
GATEWAY = "packages/hemlockdock-entry/hemlockdock_entry/gateway/"
CONTROL_TESTS = "packages/hemlockdock-control/tests/"
ENTRY_TESTS = "packages/hemlockdock-entry/tests/"
LAST_COPIES = CONTROL_TESTS + "test_fleet_last_copies.py"
REGISTRY = CONTROL_TESTS + "test_fleet_registry.py"
LEAVING = ENTRY_TESTS + "test_gateway_leaving.py"

MUTANTS = [
    Mutant(
        "use an engine that leaves until the very end of the time allowed",
        FLEET + "departures.py",
        "self._use_s - DELIVERY_MARGIN_S - now_s",
        "self._use_s - now_s",
        REGISTRY,
    ),
    Mutant(
        "use an engine that leaves though it was never listed as staying",
        FLEET + "departures.py",
        'self._staying_s_by_id.get(endpoint_id, float("-inf"))',
        "self._staying_s_by_id.get(endpoint_id, now_s)",
        REGISTRY,
    ),
    Mutant(
        "use an engine that is stopped before it would answer",
        FLEET + "departures.py",
        "stopped_s - ANSWER_S - now_s",
        "stopped_s - now_s",
        REGISTRY,
    ),
    Mutant(
        "load what a staying host has at an engine that leaves",
        FLEET + "exchange_search.py",
        "spec.name not in copies.holders_by_name and not is_loaded",
        "not is_loaded",
        LAST_COPIES,
    ),
    Mutant(
        "load from the store at an engine that leaves",
        FLEET + "exchange_search.py",
        'return source != "store" and spec',
        "return spec",
        LAST_COPIES,
    ),
    Mutant(
        "load at an engine that takes no requests afterwards",
        FLEET + "exchange_search.py",
        "if view.is_leaving and found.takes_s + MIN_USE_S > view.usable_s:",
        "if False:",
        LAST_COPIES,
    ),
    Mutant(
        "keep the store free without end",
        FLEET + "store_reserve.py",
        "return now_s - self._free_since_s < MAX_FREE_FRACTION * load_s",
        "return True",
        LAST_COPIES,
    ),
    Mutant(
        "count a copy that leaves as one that stays",
        FLEET + "last_copies.py",
        "        if not view.is_leaving:\n",
        "        if True:\n",
        LAST_COPIES,
    ),
    Mutant(
        "send requests to a retiring endpoint that a staying one can take",
        GATEWAY + "model_queue.py",
        "usable = [row for row in usable if not row.retiring] or usable",
        "",
        LEAVING,
    ),
    Mutant(
        "send requests to a retiring endpoint for as long as the leader is silent",
        GATEWAY + "retiring_endpoints.py",
        "return since_s is not None and",
        "return False and",
        LEAVING,
    ),
    Mutant(
        "send a request twice over one connection",
        GATEWAY + "connection_pool.py",
        "if item not in endpoint_try.used_connections",
        "if item",
        ENTRY_TESTS + "test_gateway_copies.py",
    ),
    Mutant(
        "believe an error without an id on a kept connection",
        GATEWAY + "endpoint_connection.py",
        "is_doubtful = is_error_without_id and self._requests > 1",
        "is_doubtful = False",
        ENTRY_TESTS + "test_gateway_copies.py",
    ),
    Mutant(
        "take an end that is seen late for a late load",
        FLEET + "store_concurrency.py",
        "if earliest_s - load.started_s > limit_s:",
        "if took_s > limit_s:",
        CONTROL_TESTS + "test_fleet_store_follower.py",
    ),
]
