"""Turn callers' calls into requests."""

from hemlockdock_entry.intake.call_options import CallOptions, caller_name, parse_options
from hemlockdock_entry.intake.intake import fingerprint_of, parse_request
from hemlockdock_entry.intake.request import Request
from hemlockdock_entry.intake.service_request import parse_service_request

__all__ = [
    "CallOptions",
    "Request",
    "caller_name",
    "fingerprint_of",
    "parse_options",
    "parse_request",
    "parse_service_request",
]
