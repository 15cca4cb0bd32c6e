"""Write JSON responses to callers."""

import msgspec

JSON_TYPE = b"application/json"
MS_PER_S = 1_000


def json_response(http_request, status, content):
    """Set the status and headers of a JSON response and return its body.

    Parameters
    ----------
    http_request : twisted.web.server.Request
    status : int
    content : dict

    Returns
    -------
    bytes
        The body to write.
    """
    body = msgspec.json.encode(content)
    http_request.setResponseCode(status)
    http_request.setHeader(b"content-type", JSON_TYPE)
    http_request.setHeader(b"content-length", str(len(body)).encode())
    return body


def refusal_response(http_request, refusal, request_id=""):
    """Set the status and headers of a refusal response and return its body.

    Parameters
    ----------
    http_request : twisted.web.server.Request
    refusal : Refusal
    request_id : str, optional

    Returns
    -------
    bytes
        The body to write.
    """
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // MS_PER_S)
        http_request.setHeader(b"retry-after", str(seconds).encode())
    if request_id:
        http_request.setHeader(b"x-request-id", request_id.encode())
    return json_response(http_request, refusal.status, refusal.body())


def write_refusal(http_request, refusal, request_id=""):
    """Write a refusal response and finish the HTTP request.

    Parameters
    ----------
    http_request : twisted.web.server.Request
    refusal : Refusal
    request_id : str, optional
    """
    http_request.write(refusal_response(http_request, refusal, request_id))
    http_request.finish()
