"""Kinds of errors, the responses to them, and refusals of requests."""

from hemlockdock_core.errors.error_response import ErrorResponse
from hemlockdock_core.errors.field_error import FieldError, InvalidInputError
from hemlockdock_core.errors.kind import ErrorKind
from hemlockdock_core.errors.not_run import NotRun
from hemlockdock_core.errors.promise import NOT_RUN_STATUSES, status_without_promise
from hemlockdock_core.errors.refusal import Refusal
from hemlockdock_core.errors.table import RESPONSE_BY_KIND

__all__ = [
    "NOT_RUN_STATUSES",
    "RESPONSE_BY_KIND",
    "ErrorKind",
    "ErrorResponse",
    "FieldError",
    "InvalidInputError",
    "NotRun",
    "Refusal",
    "status_without_promise",
]
