"""Manifest of a deployment."""

from pydantic import Field

from hemlockdock_core.manifest.adapter import Adapter
from hemlockdock_core.manifest.base import ManifestPart
from hemlockdock_core.manifest.endpoint_group import EndpointGroup
from hemlockdock_core.manifest.model import Model
from hemlockdock_core.manifest.policy_weights import PolicyWeights
from hemlockdock_core.manifest.request_class import RequestClass
from hemlockdock_core.manifest.service import Service
from hemlockdock_core.names import Name


class Manifest(ManifestPart):
    """The models, adapters and services of a deployment, and how they are served.

    Attributes
    ----------
    format_version : int
        Version of the document format; must be 1.
    number : int
        Number that operators assign; it must increase with each accepted manifest.
    deployment : str
    weights : PolicyWeights
    failure_domains : list of str
    request_classes : list of RequestClass
    endpoint_groups : list of EndpointGroup
    models : list of Model
    adapters : list of Adapter
    services : list of Service
    """

    format_version: int = Field(ge=1, le=1)
    number: int = Field(ge=1, le=2**53)
    deployment: Name
    weights: PolicyWeights = Field(default_factory=PolicyWeights)
    failure_domains: list[Name] = Field(min_length=1)
    request_classes: list[RequestClass] = Field(min_length=1)
    endpoint_groups: list[EndpointGroup] = Field(min_length=1)
    models: list[Model] = Field(default_factory=list)
    adapters: list[Adapter] = Field(default_factory=list)
    services: list[Service] = Field(default_factory=list)
