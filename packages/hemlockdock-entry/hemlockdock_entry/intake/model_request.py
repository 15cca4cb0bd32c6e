"""Parse a model request."""

import hashlib

import msgspec
from result import Err, Ok

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.foreign import UndecodableError, decode_foreign
from hemlockdock_entry.intake.request import Request

FINGERPRINT_LENGTH = 32
ONCE_KIND = "once"
JOB_KIND = "job"


class _Body(msgspec.Struct):
    model: str
    stream: bool = False


_DECODER = msgspec.json.Decoder(_Body)


def fingerprint_of(model, path, body):
    """Return a digest that identifies the content of a request.

    Parameters
    ----------
    model : str
        Model, adapter or service that the caller named.
    path : str
    body : bytes

    Returns
    -------
    str
    """
    digest = hashlib.sha256(f"{model}\n{path}\n".encode())
    digest.update(body)
    return digest.hexdigest()[:FINGERPRINT_LENGTH]


def parse_request(table, path, body, options, request_id, now):
    """Parse and validate a model request.

    Parameters
    ----------
    table : RoutingTable
    path : str
    body : bytes
    options : RequestOptions
    request_id : str
    now : float
        Seconds on the entry's clock.

    Returns
    -------
    result.Result of Request, Refusal
    """
    try:
        content = decode_foreign(_DECODER, body)
    except UndecodableError as error:
        return _refuse(ErrorKind.BAD_REQUEST, f"body: {error}")
    adapter_row = table.adapter_by_name.get(content.model)
    model_row = table.model_by_name.get(adapter_row.model if adapter_row else content.model)
    if model_row is None:
        return _refuse(ErrorKind.UNKNOWN_MODEL, f"no model or adapter {content.model!r}")
    class_name = options.class_name or model_row.request_class
    class_row = table.class_by_name.get(class_name)
    if class_row is None:
        return _refuse(ErrorKind.BAD_REQUEST, f"no request class {class_name!r}")
    repeatable = class_row.repeatable if options.repeatable is None else options.repeatable
    if class_row.kind == ONCE_KIND:
        repeatable = False
        if not options.key:
            return _refuse(
                ErrorKind.BAD_REQUEST, "a request of this class needs an Idempotency-Key"
            )
    deadline_ms = options.deadline_ms or class_row.deadline_ms
    return Ok(
        Request(
            request_id=request_id,
            caller=options.caller,
            model=model_row.name,
            adapter=adapter_row.name if adapter_row else "",
            path=path,
            body=body,
            streaming=content.stream,
            class_name=class_name,
            kind=class_row.kind,
            repeatable=repeatable,
            key=options.key,
            priority=class_row.priority,
            retention_s=class_row.retention_s,
            admitted_at=now,
            deadline_at=now + deadline_ms / 1000,
            fingerprint=fingerprint_of(content.model, path, body),
        )
    )


def _refuse(kind, message):
    return Err(Refusal.of(kind, message))
