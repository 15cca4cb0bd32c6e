"""An HTTP/1.1 client for small requests, and a parser of responses."""

from hemlockdock_core.http.client import CallFailedError, HttpClient, HttpResponse
from hemlockdock_core.http.response_reader import (
    Framing,
    MalformedResponseError,
    ResponseHead,
    ResponseReader,
)

__all__ = [
    "CallFailedError",
    "Framing",
    "HttpResponse",
    "HttpClient",
    "MalformedResponseError",
    "ResponseHead",
    "ResponseReader",
]
