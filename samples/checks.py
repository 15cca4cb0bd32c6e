"""Hold what both acceptance lists share."""

import json
import threading
import time

from http_caller import HttpCaller
from local_run import wait_until

CHAT = "/v1/chat/completions"
END_OF_STREAM = b"data: [DONE]"
IN_FORCE_S = 18
JOB_S = 60
BURST = 24


class UnmetItemError(AssertionError):
    """Raise where an item of the list is not met."""


class Checks:
    """Check one deployment, item by item.

    Parameters
    ----------
    deployment : Deployment
    run : LocalRun
    """

    def __init__(self, deployment, run):
        self.deployment = deployment
        self.run = run
        self.entries = [HttpCaller(port, "crew") for port in deployment.entry_ports]
        self.admins = [HttpCaller(port, "operator") for port in deployment.admin_ports]

    def expect(self, holds, what):
        """Fail with a reason unless a condition holds.

        Parameters
        ----------
        holds : bool
        what : object
        """
        if not holds:
            raise UnmetItemError(str(what))

    def admin(self, method, path, body=None):
        """Call the control members in turn until one answers.

        Parameters
        ----------
        method : str
        path : str
        body : bytes, optional

        Returns
        -------
        Reply
        """
        reply = None
        for admin in self.admins:
            try:
                reply = admin.send(method, path, body)
            except OSError:
                continue
            if reply.status < 400:
                return reply
        if reply is None:
            raise UnmetItemError("no control member answers")
        return reply

    def manifest(self, number):
        """Return the deployment's manifest under a number.

        Parameters
        ----------
        number : int

        Returns
        -------
        bytes
        """
        path = self.run.sample_folder / "manifest.json"
        return json.dumps({**json.loads(path.read_text()), "number": number}).encode()

    def submit(self, number):
        """Submit the manifest, and wait until every node has it in force.

        Parameters
        ----------
        number : int
        """
        body = self.manifest(number)
        wait_until(
            "manifest accepted",
            lambda: self.admin("POST", "/v1/manifest", body).status == 200,
            IN_FORCE_S,
        )
        wait_until("manifest in force everywhere", lambda: not self.behind(), IN_FORCE_S)

    def behind(self):
        """Return the nodes that do not have the latest manifest in force."""
        return self.admin("GET", "/v1/status").json()["manifest"]["in_force"]["missing"]

    def chat(self, entry, model, text, headers=None, stream=False, tokens=24):
        """Send one chat request.

        Parameters
        ----------
        entry : int
            Index of the entry.
        model, text : str
        headers : dict, optional
        stream : bool, optional
        tokens : int, optional

        Returns
        -------
        Reply
        """
        document = self.document(model, text, stream, tokens)
        return self.entries[entry].post(CHAT, document, headers)

    def document(self, model, text, stream=False, tokens=24):
        """Return a chat request's body as a dict."""
        return {
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": tokens,
            "stream": stream,
        }

    def together(self, calls):
        """Make calls at the same time and return their replies in order.

        Parameters
        ----------
        calls : list of callable

        Returns
        -------
        list of Reply or Exception
        """
        replies = [None] * len(calls)

        def work(index):
            try:
                replies[index] = calls[index]()
            except OSError as error:
                replies[index] = error

        threads = [threading.Thread(target=work, args=(index,)) for index in range(len(calls))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return replies

    def whole_stream(self, entry, model, text, tokens=24):
        """Send a streaming request and check that the stream ends as it should."""
        reply = self.chat(entry, model, text, stream=True, tokens=tokens)
        if reply.status != 200:
            reasons = self.admin("GET", f"/v1/explain/{model}").json()
            raise UnmetItemError(f"{model}: {reply.status} {reply.body[:200]}, {reasons}")
        self.expect(END_OF_STREAM in reply.body, reply.body[-200:])
        return reply

    def job(self, model):
        """Submit a job at one entry and fetch its result at another."""
        accepted = self.entries[0].post("/v1/jobs", self.document(model, "the whole list"))
        self.expect(accepted.status == 202, accepted)
        path = f"/v1/jobs/{accepted.json()['id']}"
        wait_until(
            "job done", lambda: self.entries[2].get(path).json().get("state") == "done", JOB_S
        )

    def burst(self, model):
        """Send a burst for one cold model to every entry; all must be answered."""
        calls = []
        for index in range(BURST):
            entry = index % len(self.entries)
            calls.append(lambda e=entry, i=index: self.chat(e, model, f"stretch {i}"))
        replies = self.together(calls)
        statuses = sorted(getattr(reply, "status", 0) for reply in replies)
        self.expect(statuses == [200] * BURST, statuses)

    def served_or_refused(self, models):
        """Send one request for each of many cold models; none may go unanswered."""
        calls = []
        for index, model in enumerate(models):
            entry = index % len(self.entries)
            calls.append(lambda e=entry, m=model: self.chat(e, m, "cracked slab"))
        replies = self.together(calls)
        for model, reply in zip(models, replies, strict=True):
            self.expect(not isinstance(reply, Exception), (model, reply))
            if reply.status != 200:
                error = reply.json()["error"]
                self.expect(error["kind"] and error["not_run"], (model, reply))
        return [reply.status for reply in replies]

    def once(self, model, key):
        """Send a request with a key at two entries at once and once later; it must run once."""
        headers = {"Idempotency-Key": key}
        first, second = self.together(
            [lambda e=entry: self.chat(e, model, key, headers) for entry in (0, 1)]
        )
        third = self.chat(2, model, key, headers)
        for reply in (first, second, third):
            truthful = reply.status == 200 or reply.kind in ("already_ran", "outcome_unknown")
            self.expect(truthful, (reply.status, reply.body[:200]))
        self.expect(200 in {first.status, second.status}, (first, second))
        other = self.chat(0, model, key + " changed", headers)
        self.expect(other.kind == "key_reused", other)

    def promises(self):
        """Check what the stand-ins saw against the promises."""
        seen = self.run.ledger()
        most = {row["name"]: row["most_replicas"] for row in json.loads(self.manifest(1))["models"]}
        for model, count in seen["most_loaded_by_model"].items():
            self.expect(count <= most[model], f"{model}: {count} replicas of {most[model]}")
        self.expect(seen["memory_violations"] == 0, seen["memory_violations"])
        for key, count in seen["bookings_by_key"].items():
            self.expect(count == 1, f"{key} ran {count} times")
        return seen

    def replace_leader(self):
        """Kill the leader; a manifest must be accepted, and all must have it in force."""
        leader = self.admin("GET", "/v1/status").json()["leader_id"]
        self.run.end_node(leader, self.run.KILL)
        self.submit(2)
        self.run.start_node(leader)

    def leave(self, model, node_prefix="agent-"):
        """Stop an agent gracefully under a long stream; the stream must end whole."""
        self.whole_stream(0, model, "warm")
        rows = self.admin("GET", "/v1/status").json()["replicas"]
        holder = next(row["node_id"] for row in rows if row["model"] == model)
        replies = []
        thread = threading.Thread(
            target=lambda: replies.append(self.chat(1, model, "long", stream=True, tokens=400))
        )
        thread.start()
        time.sleep(0.5)
        code = self.run.end_node(holder)
        thread.join()
        self.expect(code == 0, f"{holder} ended with {code}")
        self.expect(END_OF_STREAM in replies[0].body, replies[0].body[-200:])
        self.whole_stream(2, model, "after the endpoint left")
        self.run.start_node(holder)
