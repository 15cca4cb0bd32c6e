"""Name every way a request or an order can be refused, and its answer."""

from hemlockdock_core.errors.answer import Answer
from hemlockdock_core.errors.field_error import FieldError, InvalidInputError
from hemlockdock_core.errors.kind import ErrorKind
from hemlockdock_core.errors.not_run import NotRun
from hemlockdock_core.errors.refusal import Refusal
from hemlockdock_core.errors.table import ANSWER_BY_KIND

__all__ = [
    "ANSWER_BY_KIND",
    "Answer",
    "ErrorKind",
    "FieldError",
    "InvalidInputError",
    "NotRun",
    "Refusal",
]
