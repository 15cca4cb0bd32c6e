"""Steps of the demo: one request of every kind, with its expected result."""

import json

from twisted.internet.task import deferLater

from hemlockdock_cli.demo.manifest import demo_manifest
from hemlockdock_cli.demo.step import Step

MS_PER_S = 1_000
POLL_INTERVAL_S = 0.1
STEP_TIMEOUT_S = 20
CHAT_PATH = "/v1/chat/completions"
EXPECTED_AUDIT_KINDS = frozenset({"manifest", "replica", "run_once", "job"})
END_OF_STREAM = b"data: [DONE]"


class DemoSteps:
    """Send one request of every kind and record the expected and the actual result.

    Parameters
    ----------
    reactor : twisted reactor
    cluster : DemoCluster
    caller : Caller
    admin : AdminClient

    Attributes
    ----------
    steps : list of Step
        Results of the steps that have run.
    """

    def __init__(self, reactor, cluster, caller, admin):
        self._reactor = reactor
        self._cluster = cluster
        self._caller = caller
        self._admin = admin
        self.steps = []

    async def run(self):
        """Run all steps in order."""
        await self._step("manifest submitted", "accepted", self._submit)
        await self._step("same manifest again", "accepted", self._submit)
        await self._step("live stream, cold model", "200, whole stream", self._live)
        await self._step("live stream, warm, adapter", "200, whole stream", self._adapter)
        await self._step("short label", "200", self._label)
        await self._step("work order, sent twice", "200, 200, ran 1 time", self._order)
        await self._step(
            "deadline of 1 ms, cold model", "503 deadline_unreachable", self._unreachable_deadline
        )
        await self._step("job, fetched when done", "202, done", self._job)
        await self._step("plain lookup", "200", self._lookup)
        await self._step("unknown model", "404 unknown_model not_run=true", self._unknown_model)
        await self._step("next manifest leaves a model out", "unloaded", self._remove_model)
        await self._step("status and audit agree", "yes", self._compare_status)

    async def _step(self, title, expected, action):
        started = self._reactor.seconds()
        try:
            actual = await action()
        except Exception as error:
            actual = f"{type(error).__name__}: {error}"
        took_ms = int((self._reactor.seconds() - started) * MS_PER_S)
        self.steps.append(Step(title, expected, actual, took_ms))

    async def _submit(self):
        body = demo_manifest(self._cluster.service.url)
        answer = await self._poll_until(self._try_submit, body)
        return "accepted" if answer and answer.get("number") == 1 else f"{answer}"

    async def _try_submit(self, body):
        answer = await self._admin.request("POST", "/v1/manifest", body)
        # Control waits only for nodes that it knows. On a busy host some nodes may not have joined
        # yet, and an entry without the manifest answers that every model is unknown.
        reached = (answer.get("in_force") or {}).get("reached", 0)
        nodes = len(self._cluster.engines) + len(self._cluster.entry_addresses)
        return answer if reached >= nodes else None

    async def _poll_until(self, action, *arguments):
        deadline = self._reactor.seconds() + STEP_TIMEOUT_S
        while True:
            try:
                found = await action(*arguments)
            except Exception:
                if self._reactor.seconds() > deadline:
                    raise
                found = None
            if found or self._reactor.seconds() > deadline:
                return found
            await deferLater(self._reactor, POLL_INTERVAL_S)

    async def _chat(self, model, stream=False, headers=None):
        document = {
            "model": model,
            "messages": [{"role": "user", "content": "bridge at km 41, spalling on pier 2"}],
            "max_tokens": 24,
            "stream": stream,
        }
        return await self._caller.send("POST", CHAT_PATH, document, headers)

    async def _stream(self, model):
        status, body = await self._chat(model, stream=True)
        complete = END_OF_STREAM in body
        return f"{status}, {'whole stream' if complete else 'cut stream'}"

    async def _live(self):
        async def entry_ready():
            status, _ = await self._caller.send("GET", "/readyz")
            return status == 200

        await self._poll_until(entry_ready)
        return await self._stream("narrator")

    async def _adapter(self):
        return await self._stream("narrator-bridges")

    async def _label(self):
        status, _ = await self._chat("labeller")
        return f"{status}"

    async def _order(self):
        before = sum(self._cluster.ledger.runs_by_key.values())
        key = {"Idempotency-Key": "work-order-17"}
        first, first_body = await self._chat("order-writer", headers=key)
        second, second_body = await self._chat("order-writer", headers=key)
        runs = sum(self._cluster.ledger.runs_by_key.values()) - before
        same = "" if first_body == second_body else ", answers differ"
        return f"{first}, {second}, ran {runs} time{same}"

    async def _job(self):
        document = {
            "model": "reporter",
            "messages": [{"role": "user", "content": "report on 12 bridges"}],
            "max_tokens": 32,
        }
        status, body = await self._caller.send("POST", "/v1/jobs", document)
        job_id = json.loads(body).get("id", "")

        async def state():
            _, text = await self._caller.send("GET", f"/v1/jobs/{job_id}")
            found = json.loads(text).get("state")
            return found if found in ("done", "failed") else None

        return f"{status}, {await self._poll_until(state)}"

    async def _lookup(self):
        status, _ = await self._caller.send("GET", "/services/inventory/items/7")
        return f"{status}"

    async def _unknown_model(self):
        status, body = await self._chat("no-such-model")
        error = json.loads(body)["error"]
        return f"{status} {error['kind']} not_run={error['not_run']}"

    async def _unreachable_deadline(self):
        status, body = await self._chat("reporter", headers={"X-Deadline-Ms": "1"})
        return f"{status} {json.loads(body)['error']['kind']}"

    async def _remove_model(self):
        document = json.loads(demo_manifest(self._cluster.service.url, number=2))
        document["models"] = [row for row in document["models"] if row["name"] != "labeller"]
        await self._admin.request("POST", "/v1/manifest", json.dumps(document).encode())

        async def unloaded():
            status = await self._admin.request("GET", "/v1/status")
            models = {row["model"] for row in status["replicas"]}
            loaded = self._cluster.ledger.loaded_by_model.get("labeller", 0)
            return "labeller" not in models and loaded == 0

        return "unloaded" if await self._poll_until(unloaded) else "still loaded"

    async def _compare_status(self):
        status = await self._admin.request("GET", "/v1/status")
        audit = await self._admin.request("GET", "/v1/audit")
        loaded = {name for name, count in self._cluster.ledger.loaded_by_model.items() if count}
        ready = {row["model"] for row in status["replicas"] if row["state"] == "ready"}
        kinds = {row["kind"] for row in audit["records"]}
        if loaded != ready:
            return f"status shows {sorted(ready)}, engines hold {sorted(loaded)}"
        if not kinds >= EXPECTED_AUDIT_KINDS:
            return f"audit shows only {sorted(kinds)}"
        return "yes"
