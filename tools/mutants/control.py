"""Deliberate faults of hemlockdock-control's state, membership, orders and table feed."""

from mutants.mutant import Mutant

ROOT = "packages/hemlockdock-control/hemlockdock_control"
TESTS = "packages/hemlockdock-control/tests"
STATE_FUZZ = f"{TESTS}/test_state_fuzz.py"
ORDERS_FUZZ = f"{TESTS}/test_orders_fuzz.py"
RULES = f"{TESTS}/test_cluster_state.py"
ORDERS = f"{TESTS}/test_orders.py"
MEMBERSHIP = f"{TESTS}/test_membership.py"
FEED = f"{TESTS}/test_table_feed.py"

MUTANTS = [
    Mutant(
        "replicas counted without those being unloaded",
        f"{ROOT}/state/replicas.py",
        "return len(self._ids_by_model.get(model, ()))",
        "ids = self._ids_by_model.get(model, ())\n"
        "        return sum(not self.record_by_id[item].unload_fence for item in ids)",
        STATE_FUZZ,
    ),
    Mutant(
        "adapters reserve no memory",
        f"{ROOT}/state/replica_record.py",
        "return self.memory_mb + sum(item.memory_mb for item in self.adapter_by_name.values())",
        "return self.memory_mb",
        STATE_FUZZ,
    ),
    Mutant(
        "an older manifest number is accepted",
        f"{ROOT}/state/manifests.py",
        "if self.current is not None and command.number < self.current.number:",
        "if False:",
        STATE_FUZZ,
    ),
    Mutant(
        "a run that is claimed can be claimed again",
        f"{ROOT}/state/run_once.py",
        "return record.state is RunState.NOT_RUN and record.request_id != command.request_id",
        "return record.state is not RunState.RAN and record.request_id != command.request_id",
        STATE_FUZZ,
    ),
    Mutant(
        "an ended entry's claims stay claimed",
        f"{ROOT}/state/run_once.py",
        "if self._nodes.superseded(node_id, record.incarnation):",
        "if False:",
        STATE_FUZZ,
    ),
    Mutant(
        "a delta leaves out deleted rows",
        f"{ROOT}/state/change_log.py",
        "deletes = [key for key in keys if key not in self.row_by_key]",
        "deletes = []",
        STATE_FUZZ,
    ),
    Mutant(
        "the committed clock goes back",
        f"{ROOT}/state/context.py",
        "self.now_ms = max(self.now_ms, at_ms)",
        "self.now_ms = at_ms",
        STATE_FUZZ,
    ),
    Mutant(
        "a lost answer to a manifest gets a new revision",
        f"{ROOT}/state/manifests.py",
        'return CommandResult(earlier.revision, state="accepted")',
        'return CommandResult(self._context.index, state="accepted")',
        STATE_FUZZ,
    ),
    Mutant(
        "a failed load is taken for gone at once",
        f"{ROOT}/state/replicas.py",
        "if record.state is ReplicaState.LOADING:\n            return conflict(",
        "if False:\n            return conflict(",
        STATE_FUZZ,
    ),
    Mutant(
        "an inventory from before a load frees its adapters",
        f"{ROOT}/orders/inventories.py",
        "return self.incarnation > incarnation or self.inventory.highest_fence >= fence",
        "return True",
        ORDERS_FUZZ,
    ),
    Mutant(
        "any order's result takes a replica out of the inventory",
        f"{ROOT}/orders/inventories.py",
        "if replica is not None and result.fence != replica.unload_fence:",
        "if False:",
        ORDERS,
    ),
    Mutant(
        "a dead incarnation's word counts",
        f"{ROOT}/state/nodes.py",
        "return record is not None and record.incarnation == incarnation and not record.gone",
        "return record is not None and record.incarnation >= incarnation and not record.gone",
        ORDERS,
    ),
    Mutant(
        "an unload goes out with the fence of the load",
        f"{ROOT}/orders/pending_orders.py",
        "yield UnloadOrder(replica.replica_id, replica.unload_fence, node.incarnation)",
        "yield UnloadOrder(replica.replica_id, replica.fence, node.incarnation)",
        ORDERS_FUZZ,
    ),
    Mutant(
        "several orders at once go to engines that ignore fences",
        f"{ROOT}/orders/pending_orders.py",
        "orders = orders[:1]",
        "orders = orders[:]",
        ORDERS_FUZZ,
    ),
    Mutant(
        "loads are decided before the inventory is known",
        f"{ROOT}/state/load_check.py",
        "if not node.inventoried:",
        "if False:",
        RULES,
    ),
    Mutant(
        "bystanders of a condemned request become suspects",
        f"{ROOT}/state/crashes.py",
        "if any(item.refused for item in suspects):",
        "if False:",
        RULES,
    ),
    Mutant(
        "several suspects at once are condemned together",
        f"{ROOT}/state/crashes.py",
        "if len(suspects) == 1:",
        "if suspects:",
        RULES,
    ),
    Mutant(
        "a lost entry's job that may not be repeated runs again",
        f"{ROOT}/state/jobs.py",
        "if record.repeatable and (ended or (node is not None and node.lost)):",
        "if ended or (node is not None and node.lost):",
        RULES,
    ),
    Mutant(
        "a new leader gives no grace",
        f"{ROOT}/membership/detector.py",
        "heard_ms = view.leading_since_ms",
        "heard_ms = 0.0",
        MEMBERSHIP,
    ),
    Mutant(
        "a digest makes old heartbeats new",
        f"{ROOT}/membership/heartbeat_table.py",
        "heard_ms = now_ms - heartbeat.age_ms",
        "heard_ms = now_ms",
        MEMBERSHIP,
    ),
    Mutant(
        "an answer counts from when it came",
        f"{ROOT}/service/leader_contact.py",
        "self._acknowledged_ms = max(self._acknowledged_ms or sent_ms, sent_ms)",
        "self._acknowledged_ms = self._clock_ms()",
        MEMBERSHIP,
    ),
    Mutant(
        "the platform's list overrules heartbeats",
        f"{ROOT}/membership/detector.py",
        "if silent_ms >= _lost_after_ms(view, node_id, settings):",
        "if host_state is HostState.GONE or silent_ms >= settings.lost_after_ms:",
        MEMBERSHIP,
    ),
    Mutant(
        "a member that lags sends a watcher back",
        f"{ROOT}/hub/table_feed.py",
        "if watcher.epoch == epoch and watcher.revision >= changes.revision:",
        "if watcher.epoch == epoch and watcher.revision == changes.revision:",
        FEED,
    ),
    Mutant(
        "a change log that reaches back too far is believed",
        f"{ROOT}/state/change_log.py",
        "if revision < self.oldest_revision or revision > self.revision:",
        "if revision > self.revision:",
        FEED,
    ),
]
