"""JSON responses of a fleet's operator APIs."""

import json


def json_response(request, document):
    """Set the headers of a JSON response, and return its body.

    Parameters
    ----------
    request : twisted.web.http.Request
    document : dict

    Returns
    -------
    bytes
    """
    request.setHeader(b"Content-Type", b"application/json")
    return json.dumps(document).encode()


def refusal_response(request, refusal):
    """Set the status and the headers of a refusal, and return its body.

    Parameters
    ----------
    request : twisted.web.http.Request
    refusal : Refusal

    Returns
    -------
    bytes
    """
    request.setResponseCode(refusal.status)
    return json_response(request, refusal.body())
