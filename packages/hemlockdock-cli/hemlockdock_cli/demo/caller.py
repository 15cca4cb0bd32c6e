"""HTTP client that calls the entries."""

import json

import treq

TIMEOUT_S = 30


class Caller:
    """Send requests to the entries in turn, as a round-robin load balancer would.

    Parameters
    ----------
    addresses : list of str
        ``ip:port`` of the entries.
    name : str
    """

    def __init__(self, addresses, name):
        self._addresses = addresses
        self._name = name
        self._next = 0

    async def send(self, method, path, document=None, headers=None):
        """Send one request.

        Parameters
        ----------
        method : str
        path : str
        document : dict, optional
            Request body, sent as JSON.
        headers : dict, optional

        Returns
        -------
        tuple of (int, bytes)
            HTTP status and body.
        """
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        body = None if document is None else json.dumps(document).encode()
        response = await treq.request(
            method,
            f"http://{address}{path}",
            headers={"X-Caller": self._name, "Content-Type": "application/json", **(headers or {})},
            data=body,
            timeout=TIMEOUT_S,
            persistent=False,
        )
        return response.code, await response.content()
