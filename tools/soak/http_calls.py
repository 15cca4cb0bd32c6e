"""HTTP calls of the soak test's clients and operators."""

import http.client
from dataclasses import dataclass

CALL_TIMEOUT_S = 15
TIME_LEFT_MS = 9_000
OK = 200


@dataclass(slots=True)
class Response:
    """Response to one HTTP call.

    Attributes
    ----------
    status : int or None
        None if no complete response arrived.
    body : bytes
    signature : str
        Signature of the endpoint; empty if absent.
    """

    status: int | None
    body: bytes = b""
    signature: str = ""


def request_headers(request_id, model=""):
    """Return the headers of a client request.

    Parameters
    ----------
    request_id : str
    model : str, optional

    Returns
    -------
    dict of str to str
    """
    headers = {
        "Host": "shop.test",
        "X-Request-Id": request_id,
        "X-Time-Left-Ms": str(TIME_LEFT_MS),
    }
    if model:
        headers["X-Use-Model"] = model
    return headers


def exchange(connection, method, path, body=None, headers=None):
    """Make one HTTP call over a connection that may be reused.

    Parameters
    ----------
    connection : http.client.HTTPConnection
    method, path : str
    body : bytes, optional
    headers : dict of str to str, optional

    Returns
    -------
    Response
    """
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException):
        # Without a complete response the client can't tell whether the request ran.
        connection.close()
        return Response(None)
    return Response(response.status, data, response.getheader("X-Answer-Signature") or "")
