"""A replica runs a request that must not be repeated, fails, and answers 503 without X-Not-Executed."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet_3 import Fleet, call, config, route, run_case  # noqa: E402

ORDERS = 200
REQUESTERS = 9
WORK_S = 0.0225
# Of `srv_grey` in the site file: x = 0.45 of the requests fail, health good.
FAILS_OF_TEN = 4
PROMISES = (408, 421, 429, 503)


def case(record, trouble):
    """Return whether a request that has run was answered with a promise that it has not."""
    fleet = Fleet(record)
    counts = {"grey": 0}

    def sound(_, request):
        time.sleep(WORK_S)
        return 200, {}, b"issued " + request.body

    def grey(_, request):
        time.sleep(WORK_S)
        counts["grey"] += 1
        if trouble and counts["grey"] % 10 < FAILS_OF_TEN:
            # It has begun to work on the request; a part of its work failed.
            return 503, {}, b"failed"
        return 200, {}, b"issued " + request.body

    try:
        replicas = [fleet.add_replica("app", respond) for respond in (sound, sound, grey)]
        fleet.start()
        fleet.put_config(
            config(1, [route("order", "/order/", "non_idempotent", "app", timeout_ms=1000)])
        )
        front = fleet.fronts[0]
        fleet.wait_until("ready", lambda: fleet.is_ready(front))
        time.sleep(6.0)
        with ThreadPoolExecutor(REQUESTERS) as requesters:
            broken = sum(
                requesters.map(lambda number: issue(fleet, replicas, number, record), range(ORDERS))
            )
        record(f"{broken} requests have run and were answered with a promise that they have not")
        return broken > 0
    finally:
        fleet.stop_all()


def issue(fleet, replicas, number, record):
    """Issue one order as the pages' requesters do: once more after a promise, with a new id.

    Returns
    -------
    int
        Number of attempts that have run and were answered with a promise.
    """
    broken = 0
    order = f"order {number}"
    runs = 0
    for attempt in range(2):
        request_id = f"order-{number}-{attempt}"
        headers = {
            "Host": "review.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "1000",
        }
        answer = call(
            fleet.fronts[0], fleet.front_port, "POST", "/order/new", headers, order.encode()
        )
        count = sum(replica.ran.count(request_id) for replica in replicas)
        runs += count
        signed = "signed" if "x-response-signature" in answer.headers else "not signed"
        record(f"{request_id} gets {answer.status}, {signed}; it has run {count} times")
        if answer.status not in PROMISES:
            break
        broken += count > 0
    if runs > 1:
        record(f"{order} was carried out {runs} times")
    return broken


if __name__ == "__main__":
    run_case(FOLDER, case)
