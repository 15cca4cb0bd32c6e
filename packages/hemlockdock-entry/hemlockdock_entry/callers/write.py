"""Write whole JSON answers to callers."""

import msgspec

JSON_TYPE = b"application/json"
MS_PER_S = 1_000


def json_answer(http_request, status, content):
    """Set a call's status and headers for a JSON object.

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


def refusal_answer(http_request, refusal, request_id=""):
    """Set a call's status and headers for a refusal.

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
    return json_answer(http_request, refusal.status, refusal.body())


def write_refusal(http_request, refusal, request_id=""):
    """Answer a call with a refusal and end it.

    Parameters
    ----------
    http_request : twisted.web.server.Request
    refusal : Refusal
    request_id : str, optional
    """
    http_request.write(refusal_answer(http_request, refusal, request_id))
    http_request.finish()
