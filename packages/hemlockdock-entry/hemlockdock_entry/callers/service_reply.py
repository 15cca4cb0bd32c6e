"""Send a plain HTTP service's response to a caller."""

from hemlockdock_core.errors import status_without_promise
from hemlockdock_entry.callers.responses import write_refusal


class ServiceReply:
    """Send a plain HTTP service's response to a caller.

    Parameters
    ----------
    http_request : twisted.web.server.Request
    request_id : str
    """

    def __init__(self, http_request, request_id):
        self.on_disconnect = None
        self._http = http_request
        self._request_id = request_id
        self._disconnected = False
        self._ended = False
        http_request.notifyFinish().addErrback(self._connection_lost)

    def answer(self, answer):
        """Send a response, under a status that doesn't promise that the call has not run.

        Parameters
        ----------
        answer : ServiceAnswer
        """
        if self._disconnected:
            return
        self._ended = True
        self._http.setResponseCode(status_without_promise(answer.status))
        for name, values in answer.headers.items():
            self._http.responseHeaders.setRawHeaders(name, values)
        self._http.setHeader(b"x-request-id", self._request_id.encode())
        self._http.setHeader(b"content-length", str(len(answer.body)).encode())
        self._http.write(answer.body)
        self._http.finish()

    def refuse(self, refusal):
        """Send a refusal.

        Parameters
        ----------
        refusal : Refusal
        """
        if self._disconnected:
            return
        self._ended = True
        write_refusal(self._http, refusal, self._request_id)

    def _connection_lost(self, failure):
        self._disconnected = True
        if self.on_disconnect is not None and not self._ended:
            self.on_disconnect()
