"""Submit jobs to control and read them."""

import hashlib

import msgspec
from result import Err, Ok

from hemlockdock_core.commands import ReadJob, SubmitJob
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal, status_without_promise
from hemlockdock_core.node import ControlUnavailableError
from hemlockdock_entry.jobs.job_body import JobBody
from hemlockdock_entry.run_once import StoredAnswer

JOB_ID_LENGTH = 32
MS_PER_S = 1_000
CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"


def job_id_for(caller, key):
    """Return the job ID for a caller's idempotency key.

    It depends only on its arguments, so that a resubmitted job gets the same ID.

    Parameters
    ----------
    caller, key : str

    Returns
    -------
    str
    """
    return hashlib.sha256(f"{caller}\n{key}".encode()).hexdigest()[:JOB_ID_LENGTH]


def job_engine_path(body):
    """Return the engine path for a job: chat if the body has messages, else completion.

    Parameters
    ----------
    body : bytes
        JSON object.

    Returns
    -------
    str
    """
    content = msgspec.json.decode(body)
    return CHAT_PATH if "messages" in content else COMPLETION_PATH


class JobClient:
    """Submit jobs to control and read their state and result.

    Parameters
    ----------
    coordinator : RequestCoordinator
    """

    def __init__(self, coordinator):
        self._coordinator = coordinator

    def submit(self, request, requested_model):
        """Submit a job to control, which commits it.

        Parameters
        ----------
        request : Request
            Its ID is the job's ID.
        requested_model : str
            Model or adapter that the caller named.

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result of dict, Refusal
        """
        body = JobBody(
            request.caller, request.path, request.class_name, request.repeatable, request.body
        )
        left_ms = request.left_ms(self._coordinator.clock.seconds())
        now_ms = self._coordinator.wall_ms()
        command = SubmitJob(
            request.request_id,
            request.caller,
            requested_model,
            request.path,
            msgspec.msgpack.encode(body),
            now_ms + left_ms,
            request.retention_s,
            request.repeatable,
            now_ms,
        )
        return self._propose(command, request.request_id)

    def read(self, job_id, caller):
        """Read a job's state and result.

        Parameters
        ----------
        job_id, caller : str

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result of dict, Refusal
        """
        return self._propose(ReadJob(job_id, caller), job_id)

    def _propose(self, command, job_id):
        timeout_ms = self._coordinator.settings.entry.claim_timeout_ms
        answered = self._coordinator.link.propose(command, timeout_ms)
        return answered.addCallbacks(
            _parse_job_state, _refuse_unavailable, callbackArgs=(job_id,), errbackArgs=(job_id,)
        )


def _parse_job_state(result, job_id):
    if result.refusal is not None:
        return Err(result.refusal)
    view = {"id": job_id, "state": result.state}
    if result.state == "done":
        answer = msgspec.msgpack.decode(result.payload, type=StoredAnswer)
        view["status"] = status_without_promise(answer.status)
        view["content_type"] = answer.content_type
        view["result"] = _decode_content(answer)
    if result.state == "failed":
        view.update(msgspec.json.decode(result.payload))
    return Ok(view)


def _decode_content(answer):
    try:
        return msgspec.json.decode(answer.body)
    except msgspec.DecodeError:
        return answer.body.decode("utf-8", "replace")


def _refuse_unavailable(failure, job_id):
    failure.trap(ControlUnavailableError)
    message = f"control did not answer in time; job {job_id} may have been accepted"
    return Err(Refusal.of(ErrorKind.NO_CONTROL, message, NotRun.UNKNOWN))
