"""Call the administration API."""

import json
import os
import sys

import treq
from twisted.internet.error import ConnectError
from twisted.internet.task import react
from twisted.web.client import ResponseNeverReceived

from hemlockdock_cli.command_error import CommandError
from hemlockdock_cli.exit_codes import ExitCode
from hemlockdock_core.errors import ErrorKind

ADMIN_VARIABLE = "HEMLOCKDOCK_ADMIN"
TOKEN_VARIABLE = "HEMLOCKDOCK_TOKEN"
DEFAULT_ADMIN = "127.0.0.1:7080"
TIMEOUT_S = 30
HTTP_BAD = 400


class AdminClient:
    """Call the administration API of any control member.

    Parameters
    ----------
    address : str, optional
        ``ip:port``, several separated by commas; else from ``HEMLOCKDOCK_ADMIN``.
    token : str, optional
        Else from ``HEMLOCKDOCK_TOKEN``.
    """

    def __init__(self, address=None, token=None):
        text = address or os.environ.get(ADMIN_VARIABLE, DEFAULT_ADMIN)
        self._addresses = [part.strip() for part in text.split(",") if part.strip()]
        self._token = token or os.environ.get(TOKEN_VARIABLE, "")

    def call(self, method, path, body=None, params=None):
        """Call once and return the JSON document that comes back.

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
        outcome = []

        async def run(reactor):
            try:
                outcome.append(await self.request(method, path, body, params))
            except CommandError as error:
                outcome.append(error)

        try:
            react(run)
        except SystemExit as stop:
            if stop.code or not outcome:
                raise
        if isinstance(outcome[0], CommandError):
            raise outcome[0]
        return outcome[0]

    async def request(self, method, path, body=None, params=None):
        """Call on a running reactor; try the addresses in turn.

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
        problem = "no address given"
        for address in self._addresses:
            try:
                status, document = await self._once(address, method, path, body, params)
            except (ConnectError, ResponseNeverReceived, TimeoutError) as error:
                problem = f"{address}: {error}"
                continue
            if status < HTTP_BAD:
                return document
            if document.get("error", {}).get("kind") == ErrorKind.NO_CONTROL:
                # Another member may lead, or know who does.
                problem = _message(status, document)
                continue
            raise CommandError(_code(status), _message(status, document))
        raise CommandError(ExitCode.UNREACHABLE, f"control cannot be reached: {problem}")

    async def _once(self, address, method, path, body, params):
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        if body is not None:
            headers["Content-Type"] = "application/json"
        response = await treq.request(
            method,
            f"http://{address}{path}",
            headers=headers,
            data=body,
            params=params,
            timeout=TIMEOUT_S,
            persistent=False,
        )
        text = await response.content()
        try:
            return response.code, json.loads(text)
        except ValueError:
            print(f"answer is no JSON: {text[:80]!r}", file=sys.stderr)
            return response.code, {}


def _code(status):
    return ExitCode.REFUSED if status != HTTP_BAD else ExitCode.BAD_INPUT


def _message(status, document):
    error = document.get("error", {})
    text = f"{error.get('kind', status)}: {error.get('message', 'no reason given')}"
    return " ".join(text.split())
