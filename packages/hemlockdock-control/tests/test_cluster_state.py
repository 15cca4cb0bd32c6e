"""Test individual rules of the replicated state."""

import unittest

from support import StateDriver, node_info, submission

from hemlockdock_control.state.crashes import MAX_SUSPECTS, QUARANTINE_MS, SUSPICION_MS
from hemlockdock_core.commands import (
    ClaimJob,
    DecideLoad,
    DecideUnload,
    ExpireRecords,
    FinishJob,
    NodeInventoried,
    NodeLost,
    ReadJob,
    RecordCrash,
    RegisterNode,
    ReleaseQuarantine,
    ReplicaGone,
    SubmitJob,
)
from hemlockdock_core.errors import ErrorKind


class ManifestTest(unittest.TestCase):
    def test_a_resubmitted_manifest_gets_the_original_result_after_a_newer_one(self):
        driver = StateDriver()
        first = driver.apply(submission(1))
        driver.apply(submission(2))
        self.assertEqual(driver.apply(submission(1)), first)

    def test_an_equal_number_with_other_content_is_refused_with_the_accepted_digest(self):
        driver = StateDriver()
        driver.apply(submission(1))
        conflicting = driver.apply(submission(1, models=("m2",)))
        self.assertEqual(conflicting.refusal.kind, ErrorKind.CONFLICT)
        self.assertIn(submission(1).digest, conflicting.refusal.message)


class ReplicaTest(unittest.TestCase):
    def test_memory_is_not_reserved_twice(self):
        driver = StateDriver()
        driver.apply(submission(1, most_replicas=5))
        driver.add_agent("agent-1", memory_mb=100)
        kinds = []
        for _ in range(3):
            result = driver.apply(DecideLoad("m1", "v1", "agent-1", 1, 1, "test"))
            kinds.append(result.refusal.kind if result.refusal else None)
        self.assertEqual(kinds, [None, None, ErrorKind.NO_CAPACITY])

    def test_a_replica_that_is_being_unloaded_still_counts(self):
        driver = StateDriver()
        driver.apply(submission(1, most_replicas=1))
        driver.add_agent("agent-1")
        driver.add_agent("agent-2")
        first = driver.apply(DecideLoad("m1", "v1", "agent-1", 1, 1, "test"))
        driver.apply(DecideUnload(first.owner, 1, "test"))
        load = DecideLoad("m1", "v1", "agent-2", 1, 1, "test")
        self.assertEqual(driver.apply(load).refusal.kind, ErrorKind.NO_CAPACITY)
        driver.apply(ReplicaGone(first.owner, 1, 1, "test"))
        self.assertIsNone(driver.apply(load).refusal)

    def test_no_load_is_decided_before_the_inventory_is_known(self):
        driver = StateDriver()
        driver.apply(submission(1))
        driver.apply(RegisterNode(node_info("agent-1"), 1, 1))
        load = DecideLoad("m1", "v1", "agent-1", 1, 1, "test")
        self.assertEqual(driver.apply(load).refusal.kind, ErrorKind.STALE_REVISION)
        driver.apply(NodeInventoried("agent-1", 1, 80, 1))
        self.assertEqual(driver.apply(load).refusal.kind, ErrorKind.NO_CAPACITY)


class CrashTest(unittest.TestCase):
    def setUp(self):
        self.driver = StateDriver()
        self.crashes = 0

    def crash(self, *fingerprints):
        self.crashes += 1
        crash_id = f"crash-{self.crashes}"
        self.driver.apply(RecordCrash(crash_id, "agent-1", list(fingerprints), 1_000))

    def quarantined_by_fingerprint(self):
        suspects = self.driver.state.crashes.suspect_by_fingerprint
        return {name: item.refused for name, item in suspects.items()}

    def test_a_suspect_in_two_crashes_is_quarantined_and_the_others_are_cleared(self):
        self.crash("bad", "x", "y")
        self.assertEqual(self.quarantined_by_fingerprint(), {"bad": False, "x": False, "y": False})
        self.crash("bad", "new")
        self.assertEqual(self.quarantined_by_fingerprint(), {"bad": True})

    def test_two_suspects_in_one_crash_are_not_quarantined(self):
        self.crash("bad", "x", "y")
        self.crash("bad", "x")
        self.assertEqual(self.quarantined_by_fingerprint(), {"bad": False, "x": False})
        self.crash("bad")
        self.assertEqual(self.quarantined_by_fingerprint(), {"bad": True})

    def test_a_late_copy_of_a_quarantined_request_creates_no_suspects(self):
        self.crash("bad")
        self.crash("bad")
        self.crash("bad", "z")
        self.assertEqual(self.quarantined_by_fingerprint(), {"bad": True})

    def test_a_crash_with_a_quarantined_request_is_not_attributed_to_a_suspect(self):
        self.crash("bad")
        self.crash("bad")
        self.crash("s")
        self.crash("bad", "s")
        suspects = self.driver.state.crashes.suspect_by_fingerprint
        self.assertEqual(len(suspects["s"].crash_ids), 1)

    def test_a_repeated_report_counts_once_and_the_suspicion_expires(self):
        for _ in range(2):
            self.driver.apply(RecordCrash("same", "agent-1", ["bad"], 1_000))
        self.assertEqual(self.quarantined_by_fingerprint(), {"bad": False})
        self.driver.apply(ExpireRecords(1_000 + SUSPICION_MS))
        self.assertEqual(self.quarantined_by_fingerprint(), {})


class IncompleteCrashReportTest(unittest.TestCase):
    """Reports of entries, each of which knows only the requests that it sent itself."""

    def setUp(self):
        self.driver = StateDriver()
        self.now_ms = 1_000

    def report(self, endpoint_id, *fingerprints, entry="entry-1"):
        command = RecordCrash(endpoint_id, entry, list(fingerprints), self.now_ms, False)
        self.driver.apply(command)

    @property
    def suspects(self):
        return self.driver.state.crashes.suspect_by_fingerprint

    def refused(self):
        return sorted(name for name, item in self.suspects.items() if item.refused)

    def test_a_request_is_quarantined_at_the_third_crash_over_all_entries(self):
        for number, entry in enumerate(("entry-1", "entry-2", "entry-3")):
            self.assertEqual(self.refused(), [])
            self.report(f"e{number}", "bad", f"beside-{number}", entry=entry)
        self.assertEqual(self.refused(), ["bad"])

    def test_the_companions_of_a_quarantined_request_are_no_suspects(self):
        for number in range(3):
            self.report(f"e{number}", "bad", "beside")
            self.driver.apply(ReleaseQuarantine("beside", "entry-2: answered", self.now_ms))
        self.report("e3", "bad", "late")
        self.assertEqual(list(self.suspects), ["bad"])

    def test_reports_on_one_crash_count_once(self):
        for entry in ("entry-1", "entry-2", "entry-1"):
            self.report("e", "hot", entry=entry)
            self.now_ms += 900
        self.assertEqual(len(self.suspects["hot"].crash_ids), 1)

    def test_an_endpoint_that_starts_again_under_its_id_crashes_again(self):
        for _ in range(3):
            self.report("e", "bad")
            self.now_ms += 4_000
        self.assertEqual(self.refused(), ["bad"])

    def test_an_answer_in_between_proves_a_request_sound(self):
        for number in range(4):
            self.report(f"e{number}", "unlucky")
            if number == 1:
                self.driver.apply(ReleaseQuarantine("unlucky", "entry-1: answered", self.now_ms))
        self.assertEqual(self.refused(), [])

    def test_several_requests_are_released_together(self):
        self.report("e", "a", "b", "c")
        command = ReleaseQuarantine("gone", "entry-1: answered", self.now_ms, ("a", "b"))
        self.assertIsNone(self.driver.apply(command).refusal)
        self.assertEqual(list(self.suspects), ["c"])

    def test_the_record_outlives_a_snapshot_and_ends_by_itself(self):
        for number in range(3):
            self.report(f"e{number}", "bad")
        self.driver.state.restore(self.driver.state.snapshot())
        self.assertEqual(self.refused(), ["bad"])
        row = self.suspects["bad"].row()
        self.assertEqual((row.crashes, len(row.crash_ids)), (3, 3))
        self.now_ms += QUARANTINE_MS
        self.report("e9", "another")
        self.assertEqual(list(self.suspects), ["another"])

    def test_the_number_of_suspects_is_limited_and_quarantined_requests_stay(self):
        for number in range(3):
            self.report(f"e{number}", "bad")
        self.report("many", *(f"f{number}" for number in range(MAX_SUSPECTS + 10)))
        self.assertEqual(len(self.suspects), MAX_SUSPECTS)
        self.assertEqual(self.refused(), ["bad"])


class PromptPartReportTest(unittest.TestCase):
    """Reports of entries on requests whose prompts share parts."""

    def setUp(self):
        self.driver = StateDriver()
        self.crashes = 0

    def crash(self, **parts_by_fingerprint):
        """Report the crash of another endpoint, which ran these requests."""
        self.crashes += 1
        fingerprints = list(parts_by_fingerprint)
        self.driver.apply(
            RecordCrash(
                f"e{self.crashes}", "entry-1", fingerprints, 1_000, False, parts_by_fingerprint
            )
        )

    def release(self, key):
        self.driver.apply(ReleaseQuarantine(key, "entry-2: answered", 1_000))

    def refused(self):
        suspects = self.driver.state.crashes.suspect_by_fingerprint
        return sorted(name for name, item in suspects.items() if item.refused)

    def test_a_part_is_quarantined_at_the_third_crash_of_requests_that_share_it(self):
        self.crash(r1=("bad", "x"), s1=("y",))
        self.crash(r2=("bad", "z"))
        self.assertEqual(self.refused(), [])
        self.crash(r3=("w", "bad"))
        self.assertEqual(self.refused(), ["part:bad"])
        self.assertEqual(list(self.driver.state.crashes.suspect_by_fingerprint), ["part:bad"])

    def test_one_request_that_comes_again_says_nothing_about_its_parts(self):
        for _ in range(5):
            self.crash(same=("a", "b"))
        self.assertEqual(self.refused(), ["same"])

    def test_a_part_is_found_though_each_of_its_requests_came_again(self):
        for _ in range(3):
            self.crash(r1=("bad",))
        self.crash(r2=("bad",))
        self.assertEqual(self.refused(), ["part:bad", "r1"])

    def test_a_part_that_was_answered_in_between_is_sound(self):
        for number in range(6):
            self.crash(**{f"r{number}": ("first", "bad")})
            self.release("part:first")
        self.assertEqual(self.refused(), ["part:bad"])

    def test_parts_of_the_same_crashes_are_quarantined_together_until_one_crashes_alone(self):
        for number in range(3):
            self.crash(**{f"r{number}": ("p", "q")})
        self.assertEqual(self.refused(), ["part:p", "part:q"])
        self.crash(r9=("p",))
        self.assertEqual(self.refused(), ["part:p"])

    def test_parts_of_the_same_crashes_are_told_apart_by_an_answer(self):
        for number in range(3):
            self.crash(**{f"r{number}": ("p", "q")})
        self.release("part:q")
        self.assertEqual(self.refused(), ["part:p"])

    def test_a_crash_with_a_quarantined_part_makes_no_suspects(self):
        for number in range(3):
            self.crash(**{f"r{number}": ("bad",)})
        self.crash(r9=("bad", "other"), beside=("another",))
        self.assertEqual(self.refused(), ["part:bad"])
        self.assertEqual(len(self.driver.state.crashes.suspect_by_fingerprint), 1)


class JobTest(unittest.TestCase):
    def submit(self, driver, repeatable):
        driver.apply(RegisterNode(node_info("entry-1", "entry"), 1, 1))
        driver.apply(SubmitJob("j", "c", "m1", "/v1", b"body", 50_000, 60, repeatable, 1))
        driver.apply(ClaimJob("j", "entry-1", 1, 1))

    def test_a_repeatable_job_of_a_lost_owner_is_requeued(self):
        driver = StateDriver()
        self.submit(driver, repeatable=True)
        driver.apply(NodeLost("entry-1", 1, 1, False))
        self.assertEqual(driver.state.jobs.record_by_id["j"].state, "waiting")
        late = driver.apply(FinishJob("j", "entry-1", 1, "done", b"late", 1))
        self.assertEqual(late.refusal.kind, ErrorKind.CONFLICT)

    def test_a_non_repeatable_job_of_a_lost_owner_ends_with_unknown_outcome(self):
        driver = StateDriver()
        self.submit(driver, repeatable=False)
        driver.apply(NodeLost("entry-1", 1, 1, False))
        self.assertEqual(driver.state.jobs.record_by_id["j"].state, "running")
        driver.apply(RegisterNode(node_info("entry-1", "entry"), 2, 1))
        result = driver.apply(ReadJob("j", "c"))
        self.assertEqual(result.state, "failed")
        self.assertIn(b"outcome_unknown", result.payload)

    def test_a_waiting_job_fails_at_its_deadline_as_not_run(self):
        driver = StateDriver()
        driver.apply(SubmitJob("j", "c", "m1", "/v1", b"body", 50_000, 60, True, 1))
        driver.apply(ExpireRecords(50_000))
        result = driver.apply(ReadJob("j", "c"))
        self.assertEqual(result.state, "failed")
        self.assertIn(b'"not_run":"true"', result.payload)


if __name__ == "__main__":
    unittest.main()
