"""Parse and validate a request to a plain HTTP service."""

from result import Err, Ok

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_entry.intake.model_request import ONCE_KIND, fingerprint_of
from hemlockdock_entry.intake.request import Request


def parse_service_request(table, service, method, target, body, options, request_id, now):
    """Parse and validate a request to a plain HTTP service.

    Parameters
    ----------
    table : RoutingTable
    service : str
    method, target : str
    body : bytes
    options : RequestOptions
    request_id : str
    now : float
        Seconds on the entry's clock.

    Returns
    -------
    result.Result of Request, Refusal
    """
    row = table.service_by_name.get(service)
    if row is None:
        return Err(Refusal.of(ErrorKind.UNKNOWN_SERVICE, f"no service {service!r}"))
    class_name = options.class_name or row.request_class
    class_row = table.class_by_name.get(class_name)
    if class_row is None:
        return Err(Refusal.of(ErrorKind.BAD_REQUEST, f"no request class {class_name!r}"))
    repeatable = method in row.repeatable_methods
    if options.repeatable is not None:
        repeatable = options.repeatable
    if class_row.kind == ONCE_KIND and not repeatable and not options.key:
        message = "a call of this class needs an Idempotency-Key"
        return Err(Refusal.of(ErrorKind.BAD_REQUEST, message))
    deadline_ms = options.deadline_ms or class_row.deadline_ms
    return Ok(
        Request(
            request_id=request_id,
            caller=options.caller,
            model="",
            adapter="",
            path=target,
            body=body,
            streaming=False,
            class_name=class_name,
            kind=class_row.kind,
            repeatable=repeatable,
            key=options.key,
            priority=class_row.priority,
            retention_s=class_row.retention_s,
            admitted_at=now,
            deadline_at=now + deadline_ms / 1000,
            fingerprint=fingerprint_of(service, f"{method} {target}", body),
        )
    )
