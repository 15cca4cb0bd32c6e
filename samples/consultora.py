"""Acceptance checks of the Consultora deployment."""

from checks import AcceptanceChecks


class ConsultoraChecks(AcceptanceChecks):
    """Checks of the Consultora workloads and of the system's guarantees."""

    def items(self):
        """Yield (name, check) pairs in execution order."""
        yield "entries become ready", self.run.wait_ready
        yield "manifest is in force everywhere", lambda: self.submit(1)
        yield "damage narrative streams whole from a cold model", self.narrative
        yield "burst for one cold model at every entry", lambda: self.burst("damage-narrative-01")
        yield "adapter of a district answers", self.adapter
        yield "defect labels are served or refused, none dropped", self.labels
        yield "bridge report is finished and fetched elsewhere", self.report
        yield "work order runs once", lambda: self.expect_single_run("work-order-00", "order 4711")
        yield "inventory lookups answer while models load", self.lookups
        yield "leader killed, manifest accepted, in force", self.replace_leader
        yield "endpoint leaves under a stream", lambda: self.stop_agent_during_stream(
            "damage-narrative-02"
        )
        yield "agent killed, its models wake elsewhere", self.kill_agent
        yield "promises hold at the engines", self.check_guarantees

    def narrative(self):
        """Stream a narrative from a model that isn't loaded."""
        self.expect_complete_stream(
            0, "damage-narrative-00", "km 41, spalling on pier 2", tokens=120
        )

    def adapter(self):
        """Stream from an adapter of a model."""
        self.expect_complete_stream(1, "damage-narrative-00-area-000", "km 3, pothole")

    def labels(self):
        """Request labels from many unloaded models at once."""
        self.expect_served_or_refused([f"defect-label-{index:02}" for index in range(15)])

    def report(self):
        """Run a bridge report as a job."""
        self.run_job("bridge-report-00")

    def lookups(self):
        """Look up inventory while several models load."""
        models = [f"damage-narrative-{index:02}" for index in range(3, 9)]
        calls = [lambda m=model: self.chat(0, m, "wake") for model in models]
        for index in range(30):
            entry = self.entries[index % len(self.entries)]
            calls.append(lambda e=entry, i=index: e.get(f"/services/inventory/items/{i}"))
        responses = self.run_concurrently(calls)
        statuses = {getattr(response, "status", 0) for response in responses[len(models) :]}
        self.expect(statuses == {200}, statuses)

    def kill_agent(self):
        """Kill the agent that runs a model, then request the model again."""
        self.expect_complete_stream(0, "damage-narrative-00", "before")
        rows = self.admin("GET", "/v1/status").json()["replicas"]
        holder = next(row["node_id"] for row in rows if row["model"] == "damage-narrative-00")
        self.run.stop_node(holder, self.run.KILL)
        self.expect_complete_stream(1, "damage-narrative-00", "after")
        self.run.start_node(holder)
