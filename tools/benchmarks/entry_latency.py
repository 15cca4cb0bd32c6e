"""Measure the latency of warm calls through an entry and an agent, and directly to the engine.

Run in a process of its own, since a reactor can't be restarted. Prints one JSON object.
"""

import json
import statistics
import time

import treq
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater, react
from twisted.web.client import HTTPConnectionPool

from hemlockdock_cli.admin_client import AdminClient
from hemlockdock_cli.demo import DemoCluster
from hemlockdock_cli.demo.manifest import demo_manifest

PATH = "/v1/chat/completions"
MODEL = "labeller"
WARM_UP_CALLS = 30
CALLS = 300
MAX_ATTEMPTS = 100
POLL_S = 0.1


async def timed_call(pool, url, body, headers):
    """Send one request and return its latency in seconds."""
    started = time.perf_counter()
    response = await treq.post(url, body, headers=headers, pool=pool)
    await response.content()
    elapsed = time.perf_counter() - started
    if response.code != 200:
        raise RuntimeError(f"{url} answered {response.code}")
    return elapsed


async def submit_manifest(reactor, cluster):
    """Submit the demo's manifest, and retry until control accepts it."""
    admin = AdminClient(",".join(cluster.admin_addresses))
    for _ in range(MAX_ATTEMPTS):
        try:
            return await admin.request("POST", "/v1/manifest", demo_manifest(cluster.service.url))
        except Exception:
            await deferLater(reactor, POLL_S)
    raise RuntimeError("the manifest was not accepted")


async def find_loaded_replica(cluster, pool):
    """Return the engine URL and the id of a loaded replica of the model."""
    for engine in cluster.engines:
        response = await treq.get(f"{engine.url}/inventory", pool=pool)
        inventory = await response.json()
        for replica in inventory["loaded"]:
            if replica["model"] == MODEL:
                return engine.url, replica["replica_id"]
    raise RuntimeError("the model is not loaded")


async def run(reactor):
    """Print the median latency of both paths, measured alternately."""
    cluster = DemoCluster(reactor)
    await cluster.start()
    pool = HTTPConnectionPool(reactor)
    await submit_manifest(reactor, cluster)
    messages = [{"role": "user", "content": "x"}]
    body = json.dumps({"model": MODEL, "max_tokens": 1, "messages": messages}).encode()
    through = f"http://{cluster.entry_addresses[0]}{PATH}"
    for _ in range(MAX_ATTEMPTS):
        try:
            await timed_call(pool, through, body, {})
            break
        except RuntimeError:
            await deferLater(reactor, POLL_S)
    through_s = []
    straight_s = []
    while len(straight_s) < WARM_UP_CALLS + CALLS:
        try:
            engine_url, replica_id = await find_loaded_replica(cluster, pool)
            headers = {"X-Replica-Id": replica_id}
            straight = await timed_call(pool, f"{engine_url}{PATH}", body, headers)
        except RuntimeError:
            # The replica was unloaded between two calls. A call that isn't counted reloads it.
            await timed_call(pool, through, body, {})
            continue
        straight_s.append(straight)
        through_s.append(await timed_call(pool, through, body, {}))
    del through_s[:WARM_UP_CALLS], straight_s[:WARM_UP_CALLS]
    medians = {
        "through_s": statistics.median(through_s),
        "straight_s": statistics.median(straight_s),
    }
    print(json.dumps(medians), flush=True)
    await pool.closeCachedConnections()
    await cluster.stop()


if __name__ == "__main__":
    react(lambda reactor: ensureDeferred(run(reactor)))
