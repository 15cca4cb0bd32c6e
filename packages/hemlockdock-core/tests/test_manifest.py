"""Tests that invalid manifests are refused with all invalid fields reported at once."""

import copy
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockdock_core.errors import InvalidInputError
from hemlockdock_core.manifest import manifest_digest, parse_manifest

GOOD = {
    "format_version": 1,
    "number": 3,
    "deployment": "test",
    "failure_domains": ["domain-a"],
    "request_classes": [{"name": "label", "kind": "short", "deadline_ms": 1000}],
    "endpoint_groups": [{"name": "default", "fencing": "ignored"}],
    "models": [
        {
            "name": "m",
            "versions": [{"name": "v1", "memory_mb": 10, "checkpoint_mb": 10}],
            "serve": "v1",
            "request_class": "label",
        }
    ],
    "adapters": [{"name": "a", "model": "m", "memory_mb": 1}],
}


def paths_of(document):
    """Return the paths of all errors, or an empty set if the manifest is valid."""
    try:
        parse_manifest(json.dumps(document), "test")
    except InvalidInputError as error:
        return {problem.path for problem in error.errors}
    return set()


class ParseManifestTest(unittest.TestCase):
    def test_all_invalid_fields_are_reported_at_once(self):
        bad = copy.deepcopy(GOOD)
        bad["models"].append(dict(bad["models"][0], request_class="nothing", most_replicas=0))
        bad["models"][0]["serve"] = "v9"
        bad["models"][0]["endpoint_groups"] = ["elsewhere"]
        bad["adapters"][0]["memory_mb"] = -1
        bad["adapters"].append({"name": "b", "model": "gone", "memory_mb": 1})
        bad["colour"] = "blue"
        expected = {
            "models[1].name",
            "models[1].request_class",
            "models[1].most_replicas",
            "models[0].serve",
            "models[0].endpoint_groups[0]",
            "adapters[0].memory_mb",
            "adapters[1].model",
            "colour",
        }
        self.assertEqual(paths_of(bad), expected)

    def test_invalid_json_is_refused_as_a_whole(self):
        with self.assertRaises(InvalidInputError) as caught:
            parse_manifest(b'{"number": \xff', "test")
        self.assertEqual(caught.exception.errors[0].path, "(whole)")

    def test_digest_depends_on_content_and_not_on_layout(self):
        first = parse_manifest(json.dumps(GOOD, indent=4), "test")
        second = parse_manifest(json.dumps(GOOD, sort_keys=True), "test")
        other = parse_manifest(json.dumps(dict(GOOD, deployment="other")), "test")
        self.assertEqual(manifest_digest(first), manifest_digest(second))
        self.assertNotEqual(manifest_digest(first), manifest_digest(other))

    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(st.data())
    def test_any_field_of_the_wrong_shape_is_an_error_and_no_crash(self, data):
        document = copy.deepcopy(GOOD)
        holder, key = document, data.draw(st.sampled_from(sorted(document)))
        while data.draw(st.booleans()) and isinstance(holder[key], dict | list) and holder[key]:
            holder = holder[key]
            keys = range(len(holder)) if isinstance(holder, list) else sorted(holder)
            key = data.draw(st.sampled_from(list(keys)))
        holder[key] = data.draw(st.sampled_from([None, -1, 1.5, {}, [{"name": []}], "\u0000 "]))
        self.assertTrue(paths_of(document))


if __name__ == "__main__":
    unittest.main()
