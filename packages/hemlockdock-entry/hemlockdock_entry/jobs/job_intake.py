"""Accept jobs for control to keep, and read them back."""

import hashlib

import msgspec
from result import Err, Ok

from hemlockdock_core.commands import ReadJob, SubmitJob
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.node import ControlUnavailableError
from hemlockdock_entry.jobs.job_body import JobBody
from hemlockdock_entry.run_once import StoredAnswer

JOB_ID_LENGTH = 32
MS_PER_S = 1_000
CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"


def job_id_for(caller, key):
    """Return the job id that a caller's key stands for.

    Parameters
    ----------
    caller, key : str

    Returns
    -------
    str
    """
    return hashlib.sha256(f"{caller}\n{key}".encode()).hexdigest()[:JOB_ID_LENGTH]


def job_path(body):
    """Return the engine's path that a job's body is meant for.

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


class JobIntake:
    """Accept jobs for control to keep, and read them back.

    Parameters
    ----------
    coordinator : RequestCoordinator
    """

    def __init__(self, coordinator):
        self._coordinator = coordinator

    def submit(self, request, named_model):
        """Have a job committed.

        Parameters
        ----------
        request : Request
            Its id is the job's id.
        named_model : str
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
            named_model,
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
            _view, _unavailable, callbackArgs=(job_id,), errbackArgs=(job_id,)
        )


def _view(result, job_id):
    if result.refusal is not None:
        return Err(result.refusal)
    view = {"id": job_id, "state": result.state}
    if result.state == "done":
        answer = msgspec.msgpack.decode(result.payload, type=StoredAnswer)
        view["status"] = answer.status
        view["content_type"] = answer.content_type
        view["result"] = _content(answer)
    if result.state == "failed":
        view.update(msgspec.json.decode(result.payload))
    return Ok(view)


def _content(answer):
    try:
        return msgspec.json.decode(answer.body)
    except msgspec.DecodeError:
        return answer.body.decode("utf-8", "replace")


def _unavailable(failure, job_id):
    failure.trap(ControlUnavailableError)
    message = f"control did not answer in time; job {job_id} may have been accepted"
    return Err(Refusal.of(ErrorKind.NO_CONTROL, message, NotRun.UNKNOWN))
