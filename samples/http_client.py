"""Blocking HTTP client for the acceptance checks."""

import http.client
import json
from dataclasses import dataclass

TIMEOUT_S = 60


@dataclass(frozen=True, slots=True)
class Response:
    """HTTP response with its whole body.

    Attributes
    ----------
    status : int
    body : bytes
    """

    status: int
    body: bytes

    def json(self):
        """Decode the body as JSON."""
        return json.loads(self.body)

    @property
    def kind(self):
        """Return the error kind, empty unless the status is 400 or above."""
        if self.status < http.client.BAD_REQUEST:
            return ""
        return self.json().get("error", {}).get("kind", "")


class HttpClient:
    """HTTP client of one loopback port; opens a new connection for each request.

    Parameters
    ----------
    port : int
    name : str
        Value of the ``X-Caller`` header.
    """

    def __init__(self, port, name):
        self._port = port
        self._name = name

    def get(self, path, headers=None):
        """Send a GET request and return its Response."""
        return self.send("GET", path, None, headers)

    def post(self, path, document, headers=None):
        """Send a document as JSON and return the Response."""
        return self.send("POST", path, json.dumps(document).encode(), headers)

    def send(self, method, path, body, headers=None):
        """Send a request and return its Response.

        Parameters
        ----------
        method : str
        path : str
        body : bytes or None
        headers : dict, optional

        Returns
        -------
        Response
        """
        connection = http.client.HTTPConnection("127.0.0.1", self._port, timeout=TIMEOUT_S)
        try:
            connection.request(method, path, body, self._headers(headers))
            response = connection.getresponse()
            return Response(response.status, response.read())
        finally:
            connection.close()

    def read_prefix(self, path, document, min_bytes, headers=None):
        """Send a POST, read the first bytes of the response body and disconnect.

        Parameters
        ----------
        path : str
        document : dict
        min_bytes : int
        headers : dict, optional

        Returns
        -------
        Response
        """
        connection = http.client.HTTPConnection("127.0.0.1", self._port, timeout=TIMEOUT_S)
        try:
            body = json.dumps(document).encode()
            connection.request("POST", path, body, self._headers(headers))
            response = connection.getresponse()
            read = b""
            while len(read) < min_bytes:
                chunk = response.read1(min_bytes - len(read))
                if not chunk:
                    break
                read += chunk
            return Response(response.status, read)
        finally:
            connection.close()

    def _headers(self, headers):
        common = {"Content-Type": "application/json", "X-Caller": self._name}
        return {**common, **(headers or {})}
