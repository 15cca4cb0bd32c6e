"""Measure the slopes of the replicated state."""

import msgspec

from hemlockdock_control.state import ClusterState
from hemlockdock_core.commands import ClaimRun, Command, FinishRun, RunState, SubmitJob
from hemlockdock_core.settings import parse_settings
from slopes.probe import allocated_bytes, processor_us
from slopes.slope import Slope

SIZES = (500, 2_000, 8_000)
DAY_S = 86_400
ANSWER_BYTES = 400
JOB_BYTES = 1_000
SETTINGS = """
[process]
node_id = control-1
roles = entry
host = host-1
failure_domain = domain-1
[control]
members = control-1@tcp://127.0.0.1:1@tcp://127.0.0.1:2
audit_entries = 100
"""


def claim(index):
    """Return the claim of one run."""
    key = f"{index:064x}"
    return ClaimRun(key, key, "entry-1", 1, f"entry-1-1-{index}", "", 2 * DAY_S, 1_000)


def finish(index):
    """Return the end of one run, with a small answer."""
    answer = b"x" * ANSWER_BYTES
    return FinishRun(f"{index:064x}", f"entry-1-1-{index}", RunState.RAN, answer, 1_000)


def job(index):
    """Return one job."""
    path = "/v1/chat/completions"
    body = b"x" * JOB_BYTES
    return SubmitJob(f"job-{index}", "crew", "m", path, body, 10**12, DAY_S, True, 1_000)


def apply_all(makers, count):
    """Return a function that applies log entries to a new state and returns it."""
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(Command)
    entries = [encoder.encode(make(index)) for make in makers for index in range(count)]

    def work():
        state = ClusterState(parse_settings(SETTINGS, "slopes"))
        for index, entry in enumerate(entries):
            state.apply(index + 1, decoder.decode(entry))
        return state

    return work


def measure():
    """Yield the slopes of run-once records and jobs."""
    cases = (
        ("run-once record, claimed", (claim,)),
        (f"run-once record with an answer of {ANSWER_BYTES} bytes", (claim, finish)),
        (f"job of {JOB_BYTES} bytes", (job,)),
    )
    for name, makers in cases:
        held = [allocated_bytes(apply_all(makers, size)) for size in SIZES]
        yield Slope.fit(name, "bytes per record", SIZES, held)
        taken = [processor_us(apply_all(makers, size)) for size in SIZES]
        yield Slope.fit(name, "us to decode and apply", SIZES, taken)
