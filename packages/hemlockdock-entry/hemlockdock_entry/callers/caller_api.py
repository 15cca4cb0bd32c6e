"""Route callers' HTTP requests to their handlers."""

from klein import Klein

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS, GAUGES, LATENCIES
from hemlockdock_core.metrics.exposition import exposition
from hemlockdock_entry.callers.job_handler import JobHandler
from hemlockdock_entry.callers.model_handler import ModelHandler
from hemlockdock_entry.callers.responses import json_response, refusal_response
from hemlockdock_entry.callers.service_handler import ServiceHandler
from hemlockdock_entry.callers.stream_handler import StreamHandler

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
METRICS_TYPE = b"text/plain; version=0.0.4"


class CallerApi:
    """Route callers' HTTP requests to their handlers.

    Parameters
    ----------
    coordinator : RequestCoordinator
    services : ServiceDispatcher
    new_request_id : callable
        Returns a new request ID.
    """

    app = Klein()

    def __init__(self, coordinator, services, new_request_id):
        self._coordinator = coordinator
        self._model_handler = ModelHandler(coordinator, new_request_id)
        self._stream_handler = StreamHandler(coordinator, new_request_id)
        self._job_handler = JobHandler(coordinator, new_request_id)
        self._service_handler = ServiceHandler(coordinator, services, new_request_id)

    @app.route(CHAT_PATH, methods=["POST"])
    def chat_completions(self, http_request):
        """Run a chat completion request."""
        return self._model_handler.run(http_request, CHAT_PATH)

    @app.route(COMPLETION_PATH, methods=["POST"])
    def completions(self, http_request):
        """Run a text completion request."""
        return self._model_handler.run(http_request, COMPLETION_PATH)

    @app.route("/v1/streams/<stream_id>", methods=["GET"])
    def stream(self, http_request, stream_id):
        """Resume a response stream after a reconnect."""
        return self._stream_handler.resume(http_request, stream_id)

    @app.route("/v1/jobs", methods=["POST"])
    def submit_job(self, http_request):
        """Accept a job."""
        return self._job_handler.submit(http_request)

    @app.route("/v1/jobs/<job_id>", methods=["GET"])
    def read_job(self, http_request, job_id):
        """Return a job's state and result."""
        return self._job_handler.read(http_request, job_id)

    @app.route("/services/<name>", methods=SERVICE_METHODS, defaults={"path": ""})
    @app.route("/services/<name>/<path:path>", methods=SERVICE_METHODS)
    def service(self, http_request, name, path):
        """Forward a request to a plain HTTP service."""
        return self._service_handler.call(http_request, name)

    @app.route("/healthz", methods=["GET"])
    def health(self, http_request):
        """Report that the process is alive."""
        return json_response(http_request, 200, {"status": "ok"})

    @app.route("/readyz", methods=["GET"])
    def readiness(self, http_request):
        """Report whether the entry accepts new requests."""
        ready = self._coordinator.link.fresh and not self._coordinator.draining
        status = "ready" if ready else "not ready"
        return json_response(http_request, 200 if ready else 503, {"status": status})

    @app.route("/metrics", methods=["GET"])
    def metrics(self, http_request):
        """Return the metrics in the Prometheus text format."""
        gauges = {"entry_in_progress": self._coordinator.in_progress}
        http_request.setHeader(b"content-type", METRICS_TYPE)
        return exposition(COUNTERS, LATENCIES, gauges, GAUGES)

    @app.handle_errors(Exception)
    def handle_error(self, http_request, failure):
        """Respond to a request that matches no route or whose handler raised an exception."""
        status = getattr(failure.value, "code", None)
        if status is None:
            self._coordinator.report_internal_error(failure)
            return refusal_response(http_request, Refusal.of(ErrorKind.INTERNAL, "internal error"))
        message = f"no such call ({status})"
        return refusal_response(http_request, Refusal.of(ErrorKind.BAD_REQUEST, message))
