"""Test that every benchmark runs, even after one that raises or is out of bounds."""

import contextlib
import io
import sys
import unittest
from pathlib import Path
from types import SimpleNamespace

TOOLS = Path(__file__).parent.parent
sys.path.insert(0, str(TOOLS))

import run_benchmarks  # noqa: E402
from benchmarks.figure import Figure  # noqa: E402


def figure(name, value):
    return Figure(name, value, "s", "", None, None, 1.0, "lower", 0)


def failing_measure():
    yield figure("first", 0.5)
    raise RuntimeError("no leader is known")


class RunTest(unittest.TestCase):
    def test_failing_benchmark_does_not_stop_the_next(self):
        modules = [
            SimpleNamespace(__name__="broken", measure=failing_measure),
            SimpleNamespace(__name__="slow", measure=lambda: [figure("second", 2.0)]),
            SimpleNamespace(__name__="good", measure=lambda: [figure("third", 0.1)]),
        ]
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(io.StringIO()), contextlib.redirect_stderr(errors):
            outcome = run_benchmarks.run(modules, output)
        self.assertEqual(outcome.past_bound, ["second"])
        self.assertEqual(outcome.failed, ["broken"])
        self.assertEqual(len(output.getvalue().splitlines()), 3)
        self.assertIn("no leader is known", errors.getvalue())


if __name__ == "__main__":
    unittest.main()
