"""The response to each error kind."""

from hemlockdock_core.errors.error_response import ErrorResponse
from hemlockdock_core.errors.kind import ErrorKind
from hemlockdock_core.errors.not_run import NotRun

SHORT_RETRY_MS = 250
LONG_RETRY_MS = 2_000
QUARANTINE_RETRY_MS = 600_000

RESPONSE_BY_KIND = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, NotRun.TRUE, None),
    ErrorKind.TOO_LARGE: ErrorResponse(413, NotRun.TRUE, None),
    ErrorKind.HEADER_TOO_LARGE: ErrorResponse(431, NotRun.TRUE, None),
    ErrorKind.HEADER_TIMEOUT: ErrorResponse(408, NotRun.TRUE, None),
    ErrorKind.UNKNOWN_ROUTE: ErrorResponse(404, NotRun.TRUE, None),
    ErrorKind.UNAUTHORIZED: ErrorResponse(401, NotRun.TRUE, None),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, NotRun.TRUE, None),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, NotRun.TRUE, None),
    ErrorKind.UNKNOWN_STREAM: ErrorResponse(404, NotRun.UNKNOWN, None),
    ErrorKind.UNKNOWN_JOB: ErrorResponse(404, NotRun.TRUE, None),
    ErrorKind.KEY_REUSED: ErrorResponse(422, NotRun.TRUE, None),
    ErrorKind.ALREADY_RAN: ErrorResponse(409, NotRun.FALSE, None),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, NotRun.UNKNOWN, None),
    ErrorKind.CONFLICT: ErrorResponse(409, NotRun.TRUE, None),
    ErrorKind.STALE_REVISION: ErrorResponse(503, NotRun.TRUE, SHORT_RETRY_MS),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, NotRun.TRUE, LONG_RETRY_MS),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(429, NotRun.TRUE, SHORT_RETRY_MS),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, NotRun.TRUE, LONG_RETRY_MS),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(503, NotRun.TRUE, LONG_RETRY_MS),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(504, NotRun.UNKNOWN, SHORT_RETRY_MS),
    ErrorKind.NO_CAPACITY: ErrorResponse(503, NotRun.TRUE, LONG_RETRY_MS),
    ErrorKind.QUARANTINED: ErrorResponse(503, NotRun.TRUE, QUARANTINE_RETRY_MS),
    ErrorKind.DRAINING: ErrorResponse(503, NotRun.TRUE, SHORT_RETRY_MS),
    ErrorKind.NO_CONTROL: ErrorResponse(503, NotRun.TRUE, LONG_RETRY_MS),
    ErrorKind.ENDPOINT_LOST: ErrorResponse(502, NotRun.UNKNOWN, SHORT_RETRY_MS),
    ErrorKind.ENGINE_REFUSED: ErrorResponse(503, NotRun.TRUE, SHORT_RETRY_MS),
    ErrorKind.ENGINE_FAILED: ErrorResponse(502, NotRun.UNKNOWN, SHORT_RETRY_MS),
    ErrorKind.STREAM_ORIGIN_UNKNOWN: ErrorResponse(503, NotRun.TRUE, None),
    ErrorKind.STREAM_VERSION_GONE: ErrorResponse(503, NotRun.TRUE, None),
    ErrorKind.STREAM_STALLED: ErrorResponse(504, NotRun.FALSE, SHORT_RETRY_MS),
    ErrorKind.CALLER_GONE: ErrorResponse(499, NotRun.UNKNOWN, None),
    ErrorKind.STORAGE_FAILED: ErrorResponse(500, NotRun.UNKNOWN, LONG_RETRY_MS),
    ErrorKind.INTERNAL: ErrorResponse(500, NotRun.UNKNOWN, None),
}
