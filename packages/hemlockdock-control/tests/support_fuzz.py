"""Settings of stateful fuzzing: fixed examples in CI, random ones when asked for."""

import os

import hypothesis
from hypothesis import Phase, settings


def fuzz_settings(examples, steps=50):
    """Return settings for a fixed set of examples.

    If FUZZ_EXAMPLES is set, that many random examples are generated instead.
    """
    common = {
        "stateful_step_count": steps,
        "database": None,
        "deadline": None,
        "suppress_health_check": list(hypothesis.HealthCheck),
    }
    asked = os.environ.get("FUZZ_EXAMPLES")
    if asked is not None:
        return settings(max_examples=int(asked), print_blob=True, **common)
    phases = (Phase.explicit, Phase.generate)
    return settings(max_examples=examples, derandomize=True, phases=phases, **common)


def seeded(test):
    """Set the seed of a test to FUZZ_SEED if the variable is set."""
    if "FUZZ_SEED" in os.environ:
        return hypothesis.seed(int(os.environ["FUZZ_SEED"]))(test)
    return test
