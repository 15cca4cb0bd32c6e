"""Build the head of the HTTP request that is forwarded to an endpoint."""

from hemlockdock_entry.gateway.messages import format_head, forwarded_headers

MS_PER_S = 1_000
CONNECTION = b"connection"
CONTENT_LENGTH = b"Content-Length"
# Engines know the priorities 0 to 9; further ranks share the lowest one.
LOWEST_PRIORITY = 9


def build_forwarded_head(exchange, row, gateway, last_event_id):
    """Serialize the head of a client's request for one endpoint; the body follows as received.

    Parameters
    ----------
    exchange : ProxyExchange
    row : EndpointRow
        The endpoint; its id is sent so that no other endpoint runs the request.
    gateway : Gateway
        Provides the header names and the headers to remove.
    last_event_id : bytes
        Id of the last event that the client received; empty if there is none.

    Returns
    -------
    bytes
    """
    names = gateway.headers
    request = exchange.request
    connection_value = request.value_by_name.get(CONNECTION, b"")
    dropped = gateway.dropped_headers | exchange.key.dropped_headers
    headers = forwarded_headers(request.headers, connection_value, dropped)
    left_ms = max(1, int(exchange.left_s * MS_PER_S))
    headers.append((names.time_left_ms, b"%d" % left_ms))
    headers.append((names.expected_endpoint, row.endpoint_id.encode()))
    if exchange.model:
        headers.append((names.priority, b"%d" % min(LOWEST_PRIORITY, exchange.urgency_rank)))
    if exchange.customer is not None:
        headers.append((names.customer, exchange.customer.name.encode()))
    if request.body or b"content-length" in request.value_by_name:
        headers.append((CONTENT_LENGTH, b"%d" % len(request.body)))
    elif b"transfer-encoding" in request.value_by_name:
        headers.append((CONTENT_LENGTH, b"0"))
    if last_event_id:
        headers = [item for item in headers if item[0].lower() != names.last_event_id]
        headers.append((names.last_event_id, last_event_id))
    line = request.method + b" " + request.target + b" HTTP/1.1"
    return format_head(line, headers)
