"""Acceptance checks and helpers shared by both sample deployments."""

import json
import threading
import time

from http_client import HttpClient
from local_run import wait_until

CHAT = "/v1/chat/completions"
END_OF_STREAM = b"data: [DONE]"
MANIFEST_TIMEOUT_S = 18
JOB_TIMEOUT_S = 60
BURST_REQUESTS = 24


class AcceptanceError(AssertionError):
    """Raised when an acceptance check fails."""


class AcceptanceChecks:
    """Base class for the acceptance checks of one deployment.

    Parameters
    ----------
    deployment : Deployment
    run : LocalRun
    """

    def __init__(self, deployment, run):
        self.deployment = deployment
        self.run = run
        self.entries = [HttpClient(port, "crew") for port in deployment.entry_ports]
        self.admins = [HttpClient(port, "operator") for port in deployment.admin_ports]

    def expect(self, condition, reason):
        """Raise AcceptanceError with a reason unless a condition holds.

        Parameters
        ----------
        condition : bool
        reason : object
        """
        if not condition:
            raise AcceptanceError(str(reason))

    def admin(self, method, path, body=None):
        """Call the control members in turn until one accepts the request.

        If none does, the last response is returned.

        Parameters
        ----------
        method : str
        path : str
        body : bytes, optional

        Returns
        -------
        Response
        """
        response = None
        for admin in self.admins:
            try:
                response = admin.send(method, path, body)
            except OSError:
                continue
            if response.status < 400:
                return response
        if response is None:
            raise AcceptanceError("no control member is reachable")
        return response

    def manifest(self, number):
        """Return the deployment's manifest with the given manifest number.

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
        """Submit the manifest and wait until every node has applied it.

        Parameters
        ----------
        number : int
        """
        body = self.manifest(number)
        wait_until(
            "manifest accepted",
            lambda: self.admin("POST", "/v1/manifest", body).status == 200,
            MANIFEST_TIMEOUT_S,
        )
        wait_until(
            "manifest in force everywhere", lambda: not self.outdated_nodes(), MANIFEST_TIMEOUT_S
        )

    def outdated_nodes(self):
        """Return the nodes that have not applied the latest manifest."""
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
        Response
        """
        document = self.document(model, text, stream, tokens)
        return self.entries[entry].post(CHAT, document, headers)

    def document(self, model, text, stream=False, tokens=24):
        """Return the body of a chat request as a dict."""
        return {
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": tokens,
            "stream": stream,
        }

    def run_concurrently(self, calls):
        """Make calls concurrently and return their results in call order.

        Parameters
        ----------
        calls : list of callable

        Returns
        -------
        list of Response or Exception
        """
        responses = [None] * len(calls)

        def work(index):
            try:
                responses[index] = calls[index]()
            except OSError as error:
                responses[index] = error

        threads = [threading.Thread(target=work, args=(index,)) for index in range(len(calls))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return responses

    def expect_complete_stream(self, entry, model, text, tokens=24):
        """Send a streaming request and check that the stream is complete."""
        response = self.chat(entry, model, text, stream=True, tokens=tokens)
        if response.status != 200:
            reasons = self.admin("GET", f"/v1/explain/{model}").json()
            raise AcceptanceError(f"{model}: {response.status} {response.body[:200]}, {reasons}")
        self.expect(END_OF_STREAM in response.body, response.body[-200:])
        return response

    def run_job(self, model):
        """Submit a job to one entry and wait at another until it is done."""
        accepted = self.entries[0].post("/v1/jobs", self.document(model, "the whole list"))
        self.expect(accepted.status == 202, accepted)
        path = f"/v1/jobs/{accepted.json()['id']}"
        wait_until(
            "job done",
            lambda: self.entries[2].get(path).json().get("state") == "done",
            JOB_TIMEOUT_S,
        )

    def burst(self, model):
        """Send a burst of requests for one unloaded model to all entries; all must succeed."""
        calls = []
        for index in range(BURST_REQUESTS):
            entry = index % len(self.entries)
            calls.append(lambda e=entry, i=index: self.chat(e, model, f"stretch {i}"))
        responses = self.run_concurrently(calls)
        statuses = sorted(getattr(response, "status", 0) for response in responses)
        self.expect(statuses == [200] * BURST_REQUESTS, statuses)

    def expect_served_or_refused(self, models):
        """Send one request for each of many unloaded models; each must get a response."""
        calls = []
        for index, model in enumerate(models):
            entry = index % len(self.entries)
            calls.append(lambda e=entry, m=model: self.chat(e, m, "cracked slab"))
        responses = self.run_concurrently(calls)
        for model, response in zip(models, responses, strict=True):
            self.expect(not isinstance(response, Exception), (model, response))
            if response.status != 200:
                error = response.json()["error"]
                self.expect(error["kind"] and error["not_run"], (model, response))
        return [response.status for response in responses]

    def expect_single_run(self, model, key):
        """Send a keyed request to two entries concurrently, then to a third; it must run once.

        A different request with the same key must be refused.
        """
        headers = {"Idempotency-Key": key}
        first, second = self.run_concurrently(
            [lambda e=entry: self.chat(e, model, key, headers) for entry in (0, 1)]
        )
        third = self.chat(2, model, key, headers)
        for response in (first, second, third):
            is_consistent = response.status == 200 or response.kind in (
                "already_ran",
                "outcome_unknown",
            )
            self.expect(is_consistent, (response.status, response.body[:200]))
        self.expect(200 in {first.status, second.status}, (first, second))
        conflicting = self.chat(0, model, key + " changed", headers)
        self.expect(conflicting.kind == "key_reused", conflicting)

    def check_guarantees(self):
        """Check replica limits, memory limits and single execution in the stand-ins' ledger."""
        counters = self.run.ledger()
        max_replicas = {
            row["name"]: row["most_replicas"] for row in json.loads(self.manifest(1))["models"]
        }
        for model, count in counters["most_loaded_by_model"].items():
            self.expect(
                count <= max_replicas[model], f"{model}: {count} replicas of {max_replicas[model]}"
            )
        self.expect(counters["memory_violations"] == 0, counters["memory_violations"])
        for key, count in counters["bookings_by_key"].items():
            self.expect(count == 1, f"{key} ran {count} times")
        return counters

    def replace_leader(self):
        """Kill the leader; a new manifest must still be accepted and applied everywhere."""
        leader = self.admin("GET", "/v1/status").json()["leader_id"]
        self.run.stop_node(leader, self.run.KILL)
        self.submit(2)
        self.run.start_node(leader)

    def stop_agent_during_stream(self, model, node_prefix="agent-"):
        """Stop an agent gracefully during a long stream; the stream must complete."""
        self.expect_complete_stream(0, model, "warm")
        rows = self.admin("GET", "/v1/status").json()["replicas"]
        holder = next(row["node_id"] for row in rows if row["model"] == model)
        responses = []
        thread = threading.Thread(
            target=lambda: responses.append(self.chat(1, model, "long", stream=True, tokens=400))
        )
        thread.start()
        time.sleep(0.5)
        code = self.run.stop_node(holder)
        thread.join()
        self.expect(code == 0, f"{holder} exited with code {code}")
        self.expect(END_OF_STREAM in responses[0].body, responses[0].body[-200:])
        self.expect_complete_stream(2, model, "after the endpoint left")
        self.run.start_node(holder)
