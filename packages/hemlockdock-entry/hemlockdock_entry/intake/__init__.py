"""Parse callers' HTTP requests into ``Request`` objects."""

from hemlockdock_entry.intake.model_request import fingerprint_of, parse_request
from hemlockdock_entry.intake.request import Request
from hemlockdock_entry.intake.request_options import RequestOptions, caller_name, parse_options
from hemlockdock_entry.intake.service_request import parse_service_request

__all__ = [
    "RequestOptions",
    "Request",
    "caller_name",
    "fingerprint_of",
    "parse_options",
    "parse_request",
    "parse_service_request",
]
