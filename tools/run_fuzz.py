"""Run the tests with more fuzz examples than CI, and print the seed."""

import os
import random
import sys

import run_tests

DEFAULT_EXAMPLES = 500


def main():
    """Run all tests; the arguments are ``[examples [seed]]``."""
    arguments = sys.argv[1:]
    examples = arguments[0] if arguments else str(DEFAULT_EXAMPLES)
    seed = arguments[1] if len(arguments) > 1 else str(random.SystemRandom().randrange(2**31))
    os.environ["FUZZ_EXAMPLES"] = examples
    os.environ["FUZZ_SEED"] = seed
    print(f"fuzzing with {examples} examples, seed {seed}", flush=True)
    run_tests.main()


if __name__ == "__main__":
    main()
