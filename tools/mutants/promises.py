"""List deliberate faults in what promises that a request has not run."""

from mutants.mutant import Mutant

CORE = "packages/hemlockdock-core/hemlockdock_core/errors/"
ENTRY = "packages/hemlockdock-entry/hemlockdock_entry/"
AGENT = "packages/hemlockdock-agent/hemlockdock_agent/"
GATEWAY_TEST = "packages/hemlockdock-entry/tests/test_gateway_promises.py"
RELAY_TEST = "packages/hemlockdock-entry/tests/test_relayed_statuses.py"

MUTANTS = [
    Mutant(
        "pass on an endpoint's failure whatever its status promises",
        ENTRY + "gateway/proxy_exchange.py",
        "        if head.status in NOT_RUN_STATUSES:",
        "        if False:",
        GATEWAY_TEST,
    ),
    Mutant(
        "refuse with a promise what may have run",
        ENTRY + "gateway/proxy_exchange.py",
        "        if self.may_have_run:\n            refusal = refusal.without_promise()\n",
        "",
        GATEWAY_TEST,
    ),
    Mutant(
        "forget one status that promises",
        CORE + "promise.py",
        "NOT_RUN_STATUSES = (408, 421, 429, 503)",
        "NOT_RUN_STATUSES = (421, 429, 503)",
        GATEWAY_TEST,
    ),
    Mutant(
        "take a status of a refusal that may have run from its kind",
        CORE + "refusal.py",
        "return status if self.not_run is NotRun.TRUE else status_without_promise(status)",
        "return status",
        "packages/hemlockdock-core/tests/test_errors.py",
    ),
    Mutant(
        "tell the status of a service as it is",
        ENTRY + "callers/service_reply.py",
        "setResponseCode(status_without_promise(answer.status))",
        "setResponseCode(answer.status)",
        RELAY_TEST,
    ),
    Mutant(
        "tell the status of a job as it is",
        ENTRY + "jobs/job_client.py",
        "status_without_promise(answer.status)",
        "answer.status",
        RELAY_TEST,
    ),
    Mutant(
        "take an engine's bare 503 for not run",
        AGENT + "requests/executor.py",
        "if response.headers.hasHeader(NOT_RUN_HEADER) else",
        "if True else",
        "packages/hemlockdock-agent/tests/test_service.py::AgentServiceTest",
    ),
]
