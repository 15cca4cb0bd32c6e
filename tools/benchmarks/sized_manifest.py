"""Generate manifests of a given size."""

import json

CLASS_NAME = "label"


def sized_manifest(number, models, adapters):
    """Return a manifest with the given numbers of models and adapters.

    Parameters
    ----------
    number : int
        Number of the manifest.
    models, adapters : int

    Returns
    -------
    bytes
        JSON.
    """
    version = {"name": "v1", "memory_mb": 8_000, "checkpoint_mb": 8_000}
    names = [f"model-{index:03}" for index in range(models)]
    document = {
        "format_version": 1,
        "number": number,
        "deployment": "benchmark",
        "failure_domains": ["domain-1"],
        "request_classes": [{"name": CLASS_NAME, "kind": "short", "deadline_ms": 10_000}],
        "endpoint_groups": [{"name": "default", "fencing": "refuses_old"}],
        "models": [
            {"name": name, "versions": [version], "serve": "v1", "request_class": CLASS_NAME}
            for name in names
        ],
        "adapters": [
            {
                "name": f"adapter-{index:05}",
                "model": names[index % models],
                "memory_mb": 100,
            }
            for index in range(adapters)
        ],
    }
    return json.dumps(document).encode()
