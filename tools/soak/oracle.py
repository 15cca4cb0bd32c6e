"""Judge a run by what clients, operators and endpoints have seen."""

from collections import Counter
from dataclasses import dataclass

from soak.fleet import OK

# These promise that a request hasn't run and never will.
PROMISES = frozenset((408, 421, 429, 503))
ONCE_KINDS = frozenset(("write", "live"))
STREAM = "live"
EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 3))
# The engine's memory holds one of the models.
MOST_MODELS = 1
CHANGES_PER_TERM = 1_000_000


@dataclass(frozen=True, slots=True)
class Breach:
    """Name one broken promise.

    Attributes
    ----------
    rule : str
    what : str
    """

    rule: str
    what: str


def request_breaches(sent, ledgers):
    """Yield what is wrong with requests.

    Parameters
    ----------
    sent : list of Sent
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
        if item.kind in ONCE_KINDS and count > 1:
            yield Breach("at most once", f"{item.request_id} ran {count} times")
        if item.kind in ONCE_KINDS and item.answer.status in PROMISES and count:
            yield Breach(
                "a refusal is true", f"{item.request_id}: {item.answer.status}, but it ran"
            )
        if item.answer.status == OK:
            yield from _answer_breaches(item, ledgers)


def _answer_breaches(item, ledgers):
    wanted = EVENTS if item.kind == STREAM else b"ran " + item.request_id.encode()
    if item.answer.body != wanted:
        yield Breach("whole answers", f"{item.request_id} got {item.answer.body!r}")
    endpoint_id, _, position = item.answer.signature.rpartition(".")
    for ledger in ledgers:
        if ledger.endpoint_id != endpoint_id:
            continue
        if ledger.runs[int(position) - 1] == item.request_id:
            return
    yield Breach("answers bear their own mark", f"{item.request_id}: {item.answer.signature!r}")


def engine_breaches(ledgers):
    """Yield what is wrong with the orders that engines were given.

    Parameters
    ----------
    ledgers : list of EngineHistory

    Yields
    ------
    Breach
    """
    for ledger in ledgers:
        if ledger.most_models > MOST_MODELS:
            yield Breach("memory", f"{ledger.endpoint_id} held {ledger.most_models} models")
        holders = {order.holder for order in ledger.orders}
        if len(holders) > 1:
            yield Breach("one holder", f"{ledger.endpoint_id}: {sorted(holders)}")
        fences = [order.fence for order in ledger.orders]
        if fences != sorted(fences):
            yield Breach("fences never fall", f"{ledger.endpoint_id}: {fences}")


def route_breaches(acknowledged, reads, submitted, final):
    """Yield what is wrong with the routes that were read back.

    Parameters
    ----------
    acknowledged, reads : list of (float, int)
        Times and numbers.
    submitted : set of int
    final : int
        Number that was read after everything.

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
