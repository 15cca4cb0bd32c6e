"""Parse the request options that callers set by headers."""

import hashlib
from dataclasses import dataclass

from result import Err, Ok

from hemlockdock_core.errors import ErrorKind, Refusal

MAX_DEADLINE_MS = 7 * 86_400_000
MAX_KEY_LENGTH = 255
MAX_CALLER_LENGTH = 127
CALLER_DIGEST_LENGTH = 32
ANONYMOUS_CALLER = "anonymous"
BOOLEAN_BY_TEXT = {"true": True, "1": True, "false": False, "0": False}


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Options set by a request's headers; None or empty if the header is absent.

    Attributes
    ----------
    caller : str
    key : str
        Idempotency key.
    deadline_ms : int or None
    repeatable : bool or None
    class_name : str
    """

    caller: str
    key: str
    deadline_ms: int | None
    repeatable: bool | None
    class_name: str


def parse_options(headers):
    """Parse and validate a request's option headers.

    Parameters
    ----------
    headers : dict of str to str
        Keys in lower case.

    Returns
    -------
    result.Result of RequestOptions, Refusal
    """
    deadline = headers.get("x-deadline-ms", "")
    if deadline and not _is_deadline(deadline):
        return _bad_request(f"X-Deadline-Ms must be from 1 to {MAX_DEADLINE_MS}")
    repeatable = headers.get("x-repeatable", "").lower()
    if repeatable and repeatable not in BOOLEAN_BY_TEXT:
        return _bad_request("X-Repeatable must be true or false")
    key = headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        return _bad_request(
            f"Idempotency-Key must be at most {MAX_KEY_LENGTH} printable characters"
        )
    caller = caller_name(headers)
    if len(caller) > MAX_CALLER_LENGTH or not caller.isprintable():
        return _bad_request(f"X-Caller must be at most {MAX_CALLER_LENGTH} printable characters")
    return Ok(
        RequestOptions(
            caller=caller,
            key=key,
            deadline_ms=int(deadline) if deadline else None,
            repeatable=BOOLEAN_BY_TEXT.get(repeatable),
            class_name=headers.get("x-request-class", ""),
        )
    )


def caller_name(headers):
    """Return the caller's name.

    It is ``X-Caller`` if given, else a digest of ``Authorization``, else ``anonymous``.

    Parameters
    ----------
    headers : dict of str to str

    Returns
    -------
    str
    """
    if headers.get("x-caller"):
        return headers["x-caller"]
    authorization = headers.get("authorization", "")
    if not authorization:
        return ANONYMOUS_CALLER
    return hashlib.sha256(authorization.encode()).hexdigest()[:CALLER_DIGEST_LENGTH]


def _is_deadline(text):
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_DEADLINE_MS))
    return is_number and 1 <= int(text) <= MAX_DEADLINE_MS


def _bad_request(message):
    return Err(Refusal.of(ErrorKind.BAD_REQUEST, message))
