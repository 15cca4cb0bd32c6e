"""Handle callers' requests to submit and read jobs."""

from dataclasses import replace

import msgspec
from result import Err

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_entry.callers.http_requests import read_options, refusal_for_key
from hemlockdock_entry.callers.responses import json_response, refusal_response
from hemlockdock_entry.intake import parse_request
from hemlockdock_entry.jobs import JobClient, job_engine_path, job_id_for

JOB_KIND = "job"
ACCEPTED = 202


class JobHandler:
    """Handle callers' requests to submit and read jobs.

    Parameters
    ----------
    coordinator : RequestCoordinator
    new_request_id : callable
        Returns a new ID.
    """

    def __init__(self, coordinator, new_request_id):
        self._coordinator = coordinator
        self._job_client = JobClient(coordinator)
        self._new_request_id = new_request_id

    def submit(self, http_request):
        """Submit a job.

        Parameters
        ----------
        http_request : twisted.web.server.Request

        Returns
        -------
        bytes or twisted.internet.defer.Deferred
        """
        options = read_options(http_request)
        if options.is_err():
            return refusal_response(http_request, options.err())
        if self._coordinator.draining:
            message = "this entry is shutting down"
            return refusal_response(http_request, Refusal.of(ErrorKind.DRAINING, message))
        parsed = self._parse(http_request.content.read(), options.ok())
        if parsed.is_err():
            refusal = refusal_for_key(parsed.err(), options.ok().key)
            return refusal_response(http_request, refusal)
        request = parsed.ok()
        requested_model = request.adapter or request.model
        committed = self._job_client.submit(request, requested_model)
        return committed.addCallback(self._respond, http_request, ACCEPTED)

    def read(self, http_request, job_id):
        """Respond with a job's state and result.

        Parameters
        ----------
        http_request : twisted.web.server.Request
        job_id : str

        Returns
        -------
        bytes or twisted.internet.defer.Deferred
        """
        options = read_options(http_request)
        if options.is_err():
            return refusal_response(http_request, options.err())
        read = self._job_client.read(job_id, options.ok().caller)
        return read.addCallback(self._respond, http_request, 200)

    def _parse(self, body, options):
        table = self._coordinator.link.table
        job_id = job_id_for(options.caller, options.key) if options.key else self._new_request_id()
        try:
            path = job_engine_path(body)
        except (msgspec.DecodeError, UnicodeDecodeError, TypeError):
            path = ""
        if not options.class_name:
            options = replace(options, class_name=_default_job_class(table))
        parsed = parse_request(
            table, path, body, options, job_id, self._coordinator.clock.seconds()
        )
        if parsed.is_ok() and parsed.ok().streaming:
            return Err(Refusal.of(ErrorKind.BAD_REQUEST, "a job cannot stream"))
        return parsed

    def _respond(self, result, http_request, status):
        if result.is_err():
            return refusal_response(http_request, result.err())
        return json_response(http_request, status, result.ok())


def _default_job_class(table):
    names = [row.name for row in table.class_by_name.values() if row.kind == JOB_KIND]
    return min(names, default="")
