"""A front machine gets SIGTERM again while it drains."""

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet_3 import Fleet, call, config, route, run_case  # noqa: E402

REQUESTERS = 10
WORK_S = 1.5
SECOND_AFTER_S = 0.5
GRACE_S = 8.0


class Requester:
    """Sends one request and notes what comes."""

    def __init__(self, number, fleet, kind):
        self._fleet = fleet
        self.request_id = f"{kind}-{number}"
        self._path = f"/{kind}/{number}"
        self.outcome = ""
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    @property
    def is_answered(self):
        """Return whether a whole answer came."""
        return self.outcome.startswith("answered")

    def _run(self):
        headers = {
            "Host": "review.example",
            "X-Request-Id": self.request_id,
            "X-Deadline-Ms": "5000",
        }
        front, port = self._fleet.fronts[0], self._fleet.front_port
        try:
            answer = call(front, port, "POST", self._path, headers, b"order", timeout_s=7.0)
            whole = "" if answer.is_whole else ", NOT WHOLE"
            self.outcome = f"answered {answer.status}{whole}"
        except OSError as error:
            self.outcome = f"not answered: {error}"
        self._fleet.record(f"{self.request_id}: {self.outcome}")


def case(record, trouble):
    """Return whether requests that were passed on got no answer around planned work."""
    fleet = Fleet(record)

    def work(_, request):
        time.sleep(WORK_S)
        return 200, {}, b"done"

    try:
        replicas = [fleet.add_replica("app", work) for _ in range(2)]
        fleet.start()
        routes = [
            route("order", "/order/", "non_idempotent", "app", timeout_ms=5000),
            route("read", "/read/", "idempotent", "app", timeout_ms=5000),
        ]
        fleet.put_config(config(1, routes))
        front = fleet.fronts[0]
        fleet.wait_until("ready", lambda: fleet.is_ready(front))
        time.sleep(6.0)
        requesters = [
            Requester(number, fleet, "order" if number % 2 else "read")
            for number in range(REQUESTERS)
        ]
        time.sleep(0.3)
        process = fleet.process_by_ip[front]
        process.send_signal(signal.SIGTERM)
        began_s = time.monotonic()
        record("SIGTERM to the front machine")
        if trouble:
            time.sleep(SECOND_AFTER_S)
            process.send_signal(signal.SIGTERM)
            record("SIGTERM to it once more")
        process.wait(timeout=GRACE_S + 1.0)
        record(f"its process ended {time.monotonic() - began_s:.2f} s after the first SIGTERM")
        for requester in requesters:
            requester.thread.join(timeout=10.0)
        ran = {request_id for replica in replicas for request_id in replica.ran}
        lost = [
            item for item in requesters if not item.is_answered and item.request_id in ran
        ]
        record(f"{len(lost)} of {len(requesters)} requests were passed on and got no answer")
        return bool(lost)
    finally:
        fleet.stop_all()


if __name__ == "__main__":
    run_case(FOLDER, case)
