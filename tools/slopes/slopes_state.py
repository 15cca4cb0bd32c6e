"""Measure the memory and CPU time of records in the replicated state."""

import msgspec

from hemlockdock_control.state import ClusterState
from hemlockdock_core.commands import ClaimRun, Command, FinishRun, RunState, SubmitJob
from hemlockdock_core.settings import parse_settings
from slopes.probe import allocated_bytes, cpu_time_us
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
    """Return the command that claims a run."""
    key = f"{index:064x}"
    return ClaimRun(key, key, "entry-1", 1, f"entry-1-1-{index}", "", 2 * DAY_S, 1_000)


def finish(index):
    """Return the command that finishes a run, with a small answer."""
    answer = b"x" * ANSWER_BYTES
    return FinishRun(f"{index:064x}", f"entry-1-1-{index}", RunState.RAN, answer, 1_000)


def job(index):
    """Return the command that submits a job."""
    path = "/v1/chat/completions"
    body = b"x" * JOB_BYTES
    return SubmitJob(f"job-{index}", "crew", "m", path, body, 10**12, DAY_S, True, 1_000)


def state_builder(factories, count):
    """Return a function that applies encoded log entries to a new state and returns the state."""
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(Command)
    entries = [encoder.encode(factory(index)) for factory in factories for index in range(count)]

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
    for name, factories in cases:
        bytes_allocated = [allocated_bytes(state_builder(factories, size)) for size in SIZES]
        yield Slope.fit(name, "bytes per record", SIZES, bytes_allocated)
        times_us = [cpu_time_us(state_builder(factories, size)) for size in SIZES]
        yield Slope.fit(name, "us to decode and apply", SIZES, times_us)
