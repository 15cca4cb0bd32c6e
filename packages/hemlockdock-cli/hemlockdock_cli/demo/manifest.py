"""Build the manifest that the demo submits."""

import json


def demo_manifest(service_url, number=1):
    """Return a small manifest with one model for each kind of request.

    Parameters
    ----------
    service_url : str
        Base URL of the HTTP service.
    number : int, optional

    Returns
    -------
    bytes
        Manifest as JSON.
    """
    document = {
        "format_version": 1,
        "number": number,
        "deployment": "demo",
        "weights": {"tail_cold_start": 0.5},
        "failure_domains": ["domain-a", "domain-b", "domain-c"],
        "request_classes": [
            _class("narrative", "live", 20_000, True, 80),
            _class("label", "short", 20_000, True, 60),
            _class("report", "job", 120_000, True, 10),
            _class("order", "once", 20_000, False, 70),
            _class("inventory", "lookup", 5_000, True, 90),
        ],
        "endpoint_groups": [{"name": "default", "fencing": "refuses_old"}],
        "models": [
            _model("narrator", "narrative", 24_000),
            _model("labeller", "label", 8_000),
            _model("reporter", "report", 40_000),
            _model("order-writer", "order", 8_000),
        ],
        "adapters": [{"name": "narrator-bridges", "model": "narrator", "memory_mb": 200}],
        "services": [
            {
                "name": "inventory",
                "urls": [service_url],
                "request_class": "inventory",
                "repeatable_methods": ["GET"],
                "most_in_flight": 16,
            }
        ],
    }
    return json.dumps(document).encode()


def _class(name, kind, deadline_ms, repeatable, priority):
    return {
        "name": name,
        "kind": kind,
        "deadline_ms": deadline_ms,
        "repeatable": repeatable,
        "priority": priority,
    }


def _model(name, request_class, memory_mb):
    return {
        "name": name,
        "versions": [{"name": "v1", "memory_mb": memory_mb, "checkpoint_mb": memory_mb}],
        "serve": "v1",
        "request_class": request_class,
        "most_replicas": 2,
        "requests_per_replica": 8,
    }
