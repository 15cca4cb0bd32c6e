"""What a client's request says of itself, and what it has in common with others."""

from functools import cached_property

from hemlockdock_entry.gateway.prompt_parts import Prompt, shared_parts
from hemlockdock_entry.intake import fingerprint_of

HOST = b"host"


class RequestContent:
    """Identify the content of one client request.

    Parameters
    ----------
    request : ClientRequest
    names : HeaderNames
    """

    def __init__(self, request, names):
        self._request = request
        self._names = names

    @property
    def request_id(self):
        """Return the id that the client gave to this attempt."""
        return self._request.header(self._names.request_id)

    @property
    def resumed_request_id(self):
        """Return the id of the request whose stream the client resumes; empty if none."""
        return self._request.header(self._names.resumed_request)

    @cached_property
    def fingerprint(self):
        """Return the digest that the request shares with those of the same content."""
        request = self._request
        line = f"{request.method.decode('latin-1')} {request.target.decode('latin-1')}"
        return fingerprint_of(request.header(HOST).decode("latin-1"), line, request.body)

    @cached_property
    def prompt(self):
        """Return the Prompt, which is without parts if the request names none."""
        return Prompt(shared_parts(self._request.header(self._names.prompt_parts)))
