"""HTTP client of the administration API."""

import json
import os
import sys

import treq
from twisted.internet import defer
from twisted.internet.error import ConnectError, ConnectionLost
from twisted.internet.task import react
from twisted.web.client import HTTPConnectionPool, ResponseFailed

from hemlockdock_cli.command_error import CommandError
from hemlockdock_cli.exit_codes import ExitCode
from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.http.body_receiver import read_body
from hemlockdock_core.http.close_tracker import CloseTracker

ADMIN_VARIABLE = "HEMLOCKDOCK_ADMIN"
TOKEN_VARIABLE = "HEMLOCKDOCK_TOKEN"
DEFAULT_ADMIN = "127.0.0.1:7080"
TIMEOUT_S = 30
CONNECT_TIMEOUT_S = 30.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
HTTP_BAD_REQUEST = 400


class AdminClient:
    """Call the administration API of the first control member that can answer.

    Parameters
    ----------
    address : str, optional
        Comma-separated ``ip:port``; defaults to ``HEMLOCKDOCK_ADMIN``.
    token : str, optional
        Defaults to ``HEMLOCKDOCK_TOKEN``.
    """

    def __init__(self, address=None, token=None):
        text = address or os.environ.get(ADMIN_VARIABLE, DEFAULT_ADMIN)
        self._addresses = [part.strip() for part in text.split(",") if part.strip()]
        self._token = token or os.environ.get(TOKEN_VARIABLE, "")

    def call(self, method, path, body=None, params=None):
        """Run a reactor for one request and return the JSON response.

        Parameters
        ----------
        method : str
        path : str
        body : bytes, optional
        params : dict, optional

        Returns
        -------
        dict

        Raises
        ------
        CommandError
        """
        result = []

        async def run(reactor):
            try:
                result.append(await self.request(method, path, body, params))
            except CommandError as error:
                result.append(error)

        try:
            react(run)
        except SystemExit as stop:
            if stop.code or not result:
                raise
        if isinstance(result[0], CommandError):
            raise result[0]
        return result[0]

    async def request(self, method, path, body=None, params=None):
        """Send a request on the running reactor, trying the addresses in turn.

        Parameters
        ----------
        method : str
        path : str
        body : bytes, optional
        params : dict, optional

        Returns
        -------
        dict

        Raises
        ------
        CommandError
        """
        # Imported here, as importing it installs it, which ``call`` leaves to the command.
        from twisted.internet import reactor

        last_error = "no address given"
        for address in self._addresses:
            try:
                call = self._send_request(reactor, address, method, path, body, params)
                status, document = await call
            except (ConnectError, ConnectionLost, ResponseFailed, defer.TimeoutError) as error:
                last_error = f"{address}: {error}"
                continue
            if status < HTTP_BAD_REQUEST:
                return document
            if document.get("error", {}).get("kind") == ErrorKind.NO_CONTROL:
                # Another member may be the leader, or know the leader.
                last_error = _error_message(status, document)
                continue
            raise CommandError(_exit_code(status), _error_message(status, document))
        raise CommandError(ExitCode.UNREACHABLE, f"control cannot be reached: {last_error}")

    async def _send_request(self, reactor, address, method, path, body, params):
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        if body is not None:
            headers["Content-Type"] = "application/json"
        tracker = CloseTracker()
        pool = HTTPConnectionPool(reactor, persistent=False)
        response = await treq.request(
            method,
            f"http://{address}{path}",
            headers=headers,
            data=body,
            params=params,
            timeout=TIMEOUT_S,
            agent=tracker.open_agent(reactor, pool, CONNECT_TIMEOUT_S),
            unbuffered=True,
        )
        text = await read_body(response, tracker, MAX_ANSWER_BYTES).addTimeout(TIMEOUT_S, reactor)
        try:
            return response.code, json.loads(text)
        except ValueError:
            print(f"response is not JSON: {text[:80]!r}", file=sys.stderr)
            return response.code, {}


def _exit_code(status):
    return ExitCode.REFUSED if status != HTTP_BAD_REQUEST else ExitCode.BAD_INPUT


def _error_message(status, document):
    error = document.get("error", {})
    text = f"{error.get('kind', status)}: {error.get('message', 'no reason given')}"
    return " ".join(text.split())
