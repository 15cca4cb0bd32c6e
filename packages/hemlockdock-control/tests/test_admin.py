"""Test authentication and rate limits of the operators' API."""

import hashlib
import os
import tempfile
import unittest
from pathlib import Path

from support import settings

from hemlockdock_control.admin.operators import Operators
from hemlockdock_control.admin.rate_limiter import MAX_CLIENTS, RateLimiter


def token_line(name, token):
    """Return one line of the tokens file."""
    return f"{name}:{hashlib.sha256(token.encode()).hexdigest()}\n"


class OperatorsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "tokens"
        self.modified_ns = 0

    def write(self, text):
        self.path.write_text(text)
        self.modified_ns += 1
        os.utime(self.path, ns=(self.modified_ns, self.modified_ns))

    def operators(self):
        return Operators(settings(extra=f"tokens_file = {self.path}"))

    def test_tokens_are_read_again_when_the_file_changes(self):
        self.write(
            token_line("alice", "one") + "# a comment\nbroken:line\n" + token_line("bob", "two")
        )
        operators = self.operators()
        self.assertEqual(operators.authenticate("Bearer two", "10.0.0.1").ok(), "bob")
        self.write(token_line("alice", "three"))
        self.assertTrue(operators.authenticate("Bearer two", "10.0.0.1").is_err())
        self.assertEqual(operators.authenticate("Bearer three", "10.0.0.1").ok(), "alice")

    def test_missing_tokens_file_rejects_everyone(self):
        self.write(token_line("alice", "one"))
        operators = self.operators()
        operators.authenticate("Bearer one", "127.0.0.1")
        self.path.unlink()
        self.assertTrue(operators.authenticate("Bearer one", "127.0.0.1").is_err())

    def test_without_a_tokens_file_only_loopback_requests_are_accepted(self):
        operators = Operators(settings())
        self.assertEqual(operators.authenticate("", "127.0.0.1").ok(), "local")
        self.assertTrue(operators.authenticate("", "10.0.0.1").is_err())


class RateLimiterTest(unittest.TestCase):
    def test_each_client_has_its_own_token_bucket(self):
        limiter = RateLimiter(rate_per_s=2, burst=3)
        allowed = [limiter.allow("a", 0.0) for _ in range(4)]
        self.assertEqual(allowed, [True, True, True, False])
        self.assertTrue(limiter.allow("b", 0.0))
        self.assertTrue(limiter.allow("a", 0.5))
        self.assertFalse(limiter.allow("a", 0.5))

    def test_number_of_buckets_is_bounded(self):
        limiter = RateLimiter(rate_per_s=1, burst=1)
        limiter.allow("first", 0.0)
        for number in range(MAX_CLIENTS):
            limiter.allow(str(number), 0.0)
        self.assertTrue(limiter.allow("first", 0.0))


if __name__ == "__main__":
    unittest.main()
