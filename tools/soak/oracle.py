"""Check the invariants of a run against the records of clients, operators and endpoints."""

from collections import Counter
from dataclasses import dataclass

from soak.clients import RESUMED_KIND, STREAM_KINDS
from soak.http_calls import OK

# Statuses which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
AT_MOST_ONCE_KINDS = frozenset(("write", "live"))
EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 3)]
STREAM_EVENTS = b"".join(EVENTS)
# The engine's memory has room for one model at a time.
MAX_LOADED_MODELS = 1
CHANGES_PER_TERM = 1_000_000


@dataclass(frozen=True, slots=True)
class Breach:
    """One violated invariant.

    Attributes
    ----------
    rule : str
    detail : str
    """

    rule: str
    detail: str


def request_breaches(sent, ledgers):
    """Yield the violations found in requests and their responses.

    Parameters
    ----------
    sent : list of SentRequest
    ledgers : list of EngineHistory

    Yields
    ------
    Breach
    """
    runs = Counter()
    for ledger in ledgers:
        runs.update(ledger.runs)
    known = {item.request_id for item in sent}
    for request_id in runs:
        if request_id not in known:
            yield Breach("no request runs that no client sent", request_id)
    for item in sent:
        count = runs[item.request_id]
        if item.kind in AT_MOST_ONCE_KINDS and count > 1:
            yield Breach("at most once", f"{item.request_id} ran {count} times")
        if item.kind in AT_MOST_ONCE_KINDS and item.response.status in NOT_RUN_STATUSES and count:
            yield Breach(
                "a refusal is true", f"{item.request_id}: {item.response.status}, but it ran"
            )
        if item.response.status == OK:
            yield from _response_breaches(item, ledgers)


def _response_breaches(item, ledgers):
    if item.response.body != _expected_body(item):
        yield Breach("whole answers", f"{item.request_id} got {item.response.body!r}")
    endpoint_id, _, position = item.response.signature.rpartition(".")
    for ledger in ledgers:
        if ledger.endpoint_id != endpoint_id:
            continue
        if ledger.runs[int(position) - 1] == item.request_id:
            return
    yield Breach("answers bear their own mark", f"{item.request_id}: {item.response.signature!r}")


def _expected_body(item):
    if item.kind in STREAM_KINDS:
        return STREAM_EVENTS
    if item.kind == RESUMED_KIND:
        return b"".join(EVENTS[1:])
    return b"ran " + item.request_id.encode()


def resumption_breaches(resumptions, version_by_endpoint):
    """Yield the streams that were joined from two software versions.

    Parameters
    ----------
    resumptions : list of Resumption
    version_by_endpoint : dict of str to str

    Yields
    ------
    Breach
    """
    for item in resumptions:
        if item.resumed.response.status != OK:
            continue
        first, rest = (
            version_by_endpoint[sent.response.signature.rpartition(".")[0]]
            for sent in (item.first, item.resumed)
        )
        if first != rest:
            yield Breach("one version in a stream", f"{item.first.request_id}: {first}, {rest}")


def engine_breaches(ledgers):
    """Yield the violations found in the orders that engines received.

    Parameters
    ----------
    ledgers : list of EngineHistory

    Yields
    ------
    Breach
    """
    for ledger in ledgers:
        if ledger.most_models > MAX_LOADED_MODELS:
            yield Breach("memory", f"{ledger.endpoint_id} held {ledger.most_models} models")
        holders = {order.holder for order in ledger.orders}
        if len(holders) > 1:
            yield Breach("one holder", f"{ledger.endpoint_id}: {sorted(holders)}")
        fences = [order.fence for order in ledger.orders]
        if fences != sorted(fences):
            yield Breach("fences never fall", f"{ledger.endpoint_id}: {fences}")


def process_breaches(own_ends):
    """Yield a violation for each process that ended by itself.

    Parameters
    ----------
    own_ends : list of int
        Exit codes.

    Yields
    ------
    Breach
    """
    for code in own_ends:
        yield Breach("no process ends by itself", f"exit code {code}")


def route_breaches(acknowledged, reads, submitted, final):
    """Yield the violations found in the routes that were read back.

    Parameters
    ----------
    acknowledged, reads : list of (float, int)
        Monotonic times and manifest numbers.
    submitted : set of int
    final : int
        Manifest number read at the end of the run.

    Yields
    ------
    Breach
    """
    for sent_s, found in reads:
        newest = max((n for at_s, n in acknowledged if at_s <= sent_s), default=0)
        if found < newest:
            yield Breach("reads are never old", f"{found} was read after {newest} was acknowledged")
        if found not in submitted:
            yield Breach("only what was sent is in force", str(found))
    newest = max((number for _, number in acknowledged), default=0)
    if final < newest:
        yield Breach("nothing acknowledged is lost", f"{final} at the end, {newest} before")
