"""Test who is let in to the operators' API, and how often."""

import hashlib
import os
import tempfile
import unittest
from pathlib import Path

from support import settings

from hemlockdock_control.admin.operators import Operators
from hemlockdock_control.admin.rate_limiter import MAX_CLIENTS, RateLimiter


def line(name, token):
    """Return one line of the tokens file."""
    return f"{name}:{hashlib.sha256(token.encode()).hexdigest()}\n"


class OperatorsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "tokens"
        self.stamp = 0

    def write(self, text):
        self.path.write_text(text)
        self.stamp += 1
        os.utime(self.path, ns=(self.stamp, self.stamp))

    def operators(self):
        return Operators(settings(extra=f"tokens_file = {self.path}"))

    def test_tokens_are_read_again_when_the_file_changes(self):
        self.write(line("alice", "one") + "# a comment\nbroken:line\n" + line("bob", "two"))
        operators = self.operators()
        self.assertEqual(operators.identify("Bearer two", "10.0.0.1").ok(), "bob")
        self.write(line("alice", "three"))
        self.assertTrue(operators.identify("Bearer two", "10.0.0.1").is_err())
        self.assertEqual(operators.identify("Bearer three", "10.0.0.1").ok(), "alice")

    def test_a_file_that_is_gone_admits_nobody(self):
        self.write(line("alice", "one"))
        operators = self.operators()
        operators.identify("Bearer one", "127.0.0.1")
        self.path.unlink()
        self.assertTrue(operators.identify("Bearer one", "127.0.0.1").is_err())

    def test_without_a_file_only_this_host_is_let_in(self):
        operators = Operators(settings())
        self.assertEqual(operators.identify("", "127.0.0.1").ok(), "local")
        self.assertTrue(operators.identify("", "10.0.0.1").is_err())


class RateLimiterTest(unittest.TestCase):
    def test_an_allowance_refills_for_each_client_by_itself(self):
        limiter = RateLimiter(rate_per_s=2, burst=3)
        allowed = [limiter.allow("a", 0.0) for _ in range(4)]
        self.assertEqual(allowed, [True, True, True, False])
        self.assertTrue(limiter.allow("b", 0.0))
        self.assertTrue(limiter.allow("a", 0.5))
        self.assertFalse(limiter.allow("a", 0.5))

    def test_the_clients_remembered_are_bounded(self):
        limiter = RateLimiter(rate_per_s=1, burst=1)
        limiter.allow("first", 0.0)
        for number in range(MAX_CLIENTS):
            limiter.allow(str(number), 0.0)
        self.assertTrue(limiter.allow("first", 0.0))


if __name__ == "__main__":
    unittest.main()
