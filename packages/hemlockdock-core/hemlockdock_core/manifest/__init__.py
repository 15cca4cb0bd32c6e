"""Manifests that operators submit, and their validation."""

from hemlockdock_core.manifest.adapter import Adapter
from hemlockdock_core.manifest.digest import manifest_digest
from hemlockdock_core.manifest.endpoint_group import EndpointGroup, Fencing
from hemlockdock_core.manifest.manifest import Manifest
from hemlockdock_core.manifest.model import Model
from hemlockdock_core.manifest.parse import parse_manifest
from hemlockdock_core.manifest.policy_weights import PolicyWeights
from hemlockdock_core.manifest.request_class import ClassKind, RequestClass
from hemlockdock_core.manifest.service import Service
from hemlockdock_core.manifest.version import Version

__all__ = [
    "Adapter",
    "ClassKind",
    "EndpointGroup",
    "Fencing",
    "Manifest",
    "Model",
    "PolicyWeights",
    "RequestClass",
    "Service",
    "Version",
    "manifest_digest",
    "parse_manifest",
]
