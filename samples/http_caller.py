"""Call HTTP as a caller's own program would, with blocking sockets."""

import http.client
import json
from dataclasses import dataclass

TIMEOUT_S = 60


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold one reply.

    Attributes
    ----------
    status : int
    body : bytes
    """

    status: int
    body: bytes

    def json(self):
        """Return the body as a decoded JSON document."""
        return json.loads(self.body)

    @property
    def kind(self):
        """Return the error kind of a refusal, empty for an answer."""
        if self.status < http.client.BAD_REQUEST:
            return ""
        return self.json().get("error", {}).get("kind", "")


class HttpCaller:
    """Call one listener.

    Parameters
    ----------
    port : int
    name : str
        Caller's name.
    """

    def __init__(self, port, name):
        self._port = port
        self._name = name

    def get(self, path, headers=None):
        """Send a GET and return its Reply."""
        return self.send("GET", path, None, headers)

    def post(self, path, document, headers=None):
        """Send a JSON document and return the Reply."""
        return self.send("POST", path, json.dumps(document).encode(), headers)

    def send(self, method, path, body, headers=None):
        """Send a request and return its Reply.

        Parameters
        ----------
        method : str
        path : str
        body : bytes or None
        headers : dict, optional

        Returns
        -------
        Reply
        """
        connection = http.client.HTTPConnection("127.0.0.1", self._port, timeout=TIMEOUT_S)
        try:
            connection.request(method, path, body, self._headers(headers))
            response = connection.getresponse()
            return Reply(response.status, response.read())
        finally:
            connection.close()

    def read_part(self, path, document, least_bytes, headers=None):
        """Post, read until enough bytes are there, and hang up.

        Parameters
        ----------
        path : str
        document : dict
        least_bytes : int
        headers : dict, optional

        Returns
        -------
        Reply
        """
        connection = http.client.HTTPConnection("127.0.0.1", self._port, timeout=TIMEOUT_S)
        try:
            body = json.dumps(document).encode()
            connection.request("POST", path, body, self._headers(headers))
            response = connection.getresponse()
            read = b""
            while len(read) < least_bytes:
                part = response.read1(least_bytes - len(read))
                if not part:
                    break
                read += part
            return Reply(response.status, read)
        finally:
            connection.close()

    def _headers(self, headers):
        common = {"Content-Type": "application/json", "X-Caller": self._name}
        return {**common, **(headers or {})}
