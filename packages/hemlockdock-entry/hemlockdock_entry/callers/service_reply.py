"""Pass a plain service's answer on to a caller."""

from hemlockdock_entry.callers.write import write_refusal


class ServiceReply:
    """Pass a plain service's answer on to a caller.

    Parameters
    ----------
    http_request : twisted.web.server.Request
    request_id : str
    """

    def __init__(self, http_request, request_id):
        self.on_gone = None
        self._http = http_request
        self._request_id = request_id
        self._gone = False
        self._ended = False
        http_request.notifyFinish().addErrback(self._connection_lost)

    def answer(self, answer):
        """Pass on an answer.

        Parameters
        ----------
        answer : ServiceAnswer
        """
        if self._gone:
            return
        self._ended = True
        self._http.setResponseCode(answer.status)
        for name, values in answer.headers.items():
            self._http.responseHeaders.setRawHeaders(name, values)
        self._http.setHeader(b"x-request-id", self._request_id.encode())
        self._http.setHeader(b"content-length", str(len(answer.body)).encode())
        self._http.write(answer.body)
        self._http.finish()

    def refuse(self, refusal):
        """Pass on a refusal.

        Parameters
        ----------
        refusal : Refusal
        """
        if self._gone:
            return
        self._ended = True
        write_refusal(self._http, refusal, self._request_id)

    def _connection_lost(self, failure):
        self._gone = True
        if self.on_gone is not None and not self._ended:
            self.on_gone()
