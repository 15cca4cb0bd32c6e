"""Names of the HTTP headers that a platform uses."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the HTTP headers that a platform uses, in lower case.

    Attributes
    ----------
    request_id : bytes
        Client's id of a request attempt; endpoints repeat it in their responses.
    time_left_ms : bytes
        Remaining time for which the sender waits, in milliseconds.
    model : bytes
        Model, or model and adapter separated by a slash.
    token_counts : bytes
        Number of prompt tokens and maximum number of output tokens, separated by a comma.
    prompt_parts : bytes
        Parts of the prompt in order, each as id and number of tokens, separated by a colon.
    last_event_id : bytes
        Id of the last stream event that the client received.
    resumed_request : bytes
        Id of the request attempt that brought the first event of the stream that a client
        continues with a new request.
    expected_endpoint : bytes
        Id of the only endpoint that may run the request.
    endpoint_id : bytes
        In responses, id of the endpoint that sent it.
    signature : bytes
        In responses, the endpoint's signature of its response.
    not_run : bytes
        In refusals, states that the request was not run.
    leaving : bytes
        In responses, states that the endpoint accepts no new work.
    request_limit : bytes
        In responses, the requests per second that the endpoint takes from all entries together.
    priority : bytes
        Priority at an engine; 0 is the highest.
    customer_key : bytes
        Key of the customer that sends the request.
    customer : bytes
        In forwarded requests, name of that customer.
    reserved : frozenset of bytes
        Headers that only hemlockdock sets; they are removed from clients' requests.
    """

    request_id: bytes
    time_left_ms: bytes
    model: bytes
    token_counts: bytes
    prompt_parts: bytes
    last_event_id: bytes
    resumed_request: bytes
    expected_endpoint: bytes
    endpoint_id: bytes
    signature: bytes
    not_run: bytes
    leaving: bytes
    request_limit: bytes
    priority: bytes
    customer_key: bytes
    customer: bytes
    reserved: frozenset
