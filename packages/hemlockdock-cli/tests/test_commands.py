"""Test the exit codes, error lines and tables of the command line."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.trial import unittest as trial_unittest

from hemlockdock_cli.admin_client import AdminClient
from hemlockdock_cli.command_error import CommandError
from hemlockdock_cli.exit_codes import ExitCode
from hemlockdock_cli.main import main
from hemlockdock_cli.tables import section_lines
from hemlockdock_control.admin.limited_site import MAX_BODY_BYTES
from hemlockdock_core.routes import RouteManifest
from hemlockdock_core.rows import LimitsRow, PoolRow, RouteKind, RouteRow, WeightedPool
from hemlockdock_core.wire import own
from hemlockdock_standins.endless_peer import EndlessPeer

ANSWER_BYTES = 1024 * 1024
SETTINGS = """
[process]
node_id = control-1
roles = control
host = host-1
failure_domain = domain-a
data_folder = {folder}
[control]
members = control-1@tcp://127.0.0.1:1@tcp://127.0.0.1:2
"""


def run(*arguments):
    """Run the command and return (exit code, standard output, standard error)."""
    output, errors = io.StringIO(), io.StringIO()
    code = 0
    with (
        mock.patch("sys.argv", ["hemlockdock", *arguments]),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
    ):
        try:
            main()
        except SystemExit as stop:
            code = stop.code or 0
    return code, output.getvalue(), errors.getvalue()


class CommandLineTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def test_valid_settings_are_reported_as_valid(self):
        path = self.write("good.ini", SETTINGS.format(folder=self.folder))
        code, output, _ = run("check", "settings", path)
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("control-1", output)

    def test_each_problem_is_one_line_and_standard_output_is_empty(self):
        path = self.write("bad.json", '{"number": 0, "format_version": 2}')
        code, output, errors = run("check", "manifest", path)
        self.assertEqual((code, output), (ExitCode.BAD_INPUT, ""))
        self.assertIn("number: ", errors)
        self.assertIn("format_version: ", errors)
        self.assertIn("deployment: ", errors)

    def routes(self, number=3, pool="p", prefix="/a/", name="routes.json"):
        limits = LimitsRow(number, 1_000, 10_000, 3_000, 15_000)
        target = (WeightedPool(pool, 1.0),)
        route = RouteRow("r", "shop", prefix, RouteKind.IDEMPOTENT, 500, 100, 1, target)
        manifest = RouteManifest(limits, (route,), (PoolRow("p", "/", 10),))
        return self.write(name, own.WIRE.encode_routes(manifest).decode())

    def test_valid_routes_are_reported_as_valid(self):
        code, output, _ = run("check", "routes", self.routes())
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("number 3 is valid, 1 routes, 1 pools", output)

    def test_an_invalid_route_is_reported_with_the_expected_value(self):
        code, output, errors = run("check", "routes", self.routes(pool="unknown"))
        self.assertEqual((code, output), (ExitCode.BAD_INPUT, ""))
        self.assertIn("routes[0].pools: ", errors)
        self.assertIn("a known pool", errors)

    def test_routes_that_cannot_be_read_and_an_unknown_adapter_are_named(self):
        path = self.write("bad.json", '{"limits": 1')
        for arguments, named in (((path,), "(text)"), ((path, "--wire", "no.such"), "no.such")):
            code, _, errors = run("check", "routes", *arguments)
            self.assertEqual(code, ExitCode.BAD_INPUT)
            self.assertIn(named, errors)

    def test_warnings_about_routes_have_an_exit_code_of_their_own(self):
        code, output, errors = run("check", "routes", self.routes(prefix="/a"))
        self.assertEqual(code, ExitCode.WARNINGS)
        self.assertIn("warning: routes[0].prefix: ", output)
        self.assertIn("is valid", output)
        self.assertIn("warnings: 1", errors)

    def test_findings_as_json_are_one_object_a_line(self):
        path = self.routes(number=2, prefix="/a")
        against = self.routes(name="in_force.json")
        code, output, _ = run("check", "routes", path, "--against", against, "--json")
        self.assertEqual(code, ExitCode.BAD_INPUT)
        found = [json.loads(line) for line in output.splitlines()]
        self.assertEqual(
            [(finding["level"], finding["path"]) for finding in found],
            [
                ("warning", "routes[0].prefix"),
                ("error", "limits.number"),
                ("warning", "route/r"),
            ],
        )
        code, output, _ = run("check", "routes", against, "--json")
        self.assertEqual((code, output), (ExitCode.OK, ""))

    def test_routes_that_control_refuses_for_their_size_are_an_error(self):
        path = Path(self.routes())
        path.write_bytes(path.read_bytes().ljust(MAX_BODY_BYTES))
        self.assertEqual(run("check", "routes", str(path))[0], ExitCode.OK)
        path.write_bytes(path.read_bytes() + b" ")
        code, _, errors = run("check", "routes", str(path))
        self.assertEqual(code, ExitCode.BAD_INPUT)
        self.assertIn(f"(text): at most {MAX_BODY_BYTES} bytes", errors)

    def test_errors_of_the_manifest_in_force_name_its_file(self):
        against = self.routes(name="in_force.json", pool="unknown")
        code, _, errors = run("check", "routes", self.routes(), "--against", against)
        self.assertEqual(code, ExitCode.BAD_INPUT)
        self.assertIn("in_force.json: routes[0].pools: ", errors)

    def test_a_bad_manifest_is_refused_before_control_is_called(self):
        path = self.write("bad.json", "no json")
        code, _, errors = run("--admin", "127.0.0.1:9", "submit", path)
        self.assertEqual(code, ExitCode.BAD_INPUT)
        self.assertNotIn("reached", errors)

    def test_recovery_requires_confirmation_and_a_used_data_folder(self):
        path = self.write("good.ini", SETTINGS.format(folder=self.folder))
        self.assertEqual(run("recover", path)[0], ExitCode.BAD_INPUT)
        self.assertEqual(run("recover", path, "--confirm")[0], ExitCode.REFUSED)


class TablesTest(unittest.TestCase):
    def test_plain_fields_come_first_and_lists_become_tables(self):
        document = {"rows": [{"a": 1, "b": None}], "empty": [], "name": "x"}
        expected = ["name: x", "", "rows", "a  b", "-  -", "1  -", "", "empty", "(none)"]
        self.assertEqual(section_lines(document), expected)


class EndlessAnswerTest(trial_unittest.TestCase):
    timeout = 120

    @inlineCallbacks
    def test_an_answer_without_end_fills_the_memory_of_the_command(self):
        # Guards against a member, or what answers in its place, whose bytes are kept until it ends.
        ok = b"HTTP/1.1 200 OK\r\n"
        for begin, part in ((ok, b"X-A: 1\r\n"), (ok + b"\r\n", b"z" * 1_000)):
            peer = EndlessPeer(reactor, begin, part, 50 * ANSWER_BYTES)
            client = AdminClient(peer.address)
            with mock.patch("hemlockdock_cli.admin_client.MAX_ANSWER_BYTES", ANSWER_BYTES):
                call = Deferred.fromCoroutine(client.request("GET", "/v1/status"))
                error = yield self.assertFailure(call, CommandError)
            yield peer.stop()
            self.assertIs(error.code, ExitCode.UNREACHABLE)
            self.assertLess(peer.sent_bytes, 20 * ANSWER_BYTES)

    @inlineCallbacks
    def test_an_answer_that_stalls_ends_the_command_with_a_traceback(self):
        # Guards against a time limit whose error is not that of the HTTP client.
        ok = b"HTTP/1.1 200 OK\r\n"
        for begin in (b"", ok, ok + b"\r\n{"):
            peer = EndlessPeer(reactor, begin, b" ", 0)
            client = AdminClient(peer.address)
            with mock.patch("hemlockdock_cli.admin_client.TIMEOUT_S", 0.3):
                call = Deferred.fromCoroutine(client.request("GET", "/v1/status"))
                error = yield self.assertFailure(call, CommandError)
            yield peer.stop()
            self.assertIs(error.code, ExitCode.UNREACHABLE)


if __name__ == "__main__":
    unittest.main()
