"""Routing table row of an endpoint."""

import msgspec

from hemlockdock_core.rows.base import BaseRow


class ResidentModel(msgspec.Struct, frozen=True, array_like=True):
    """A model that is loaded at an endpoint.

    Attributes
    ----------
    name : str
    version : int
        Version of the model's weights.
    """

    name: str
    version: int


class ArrivingModel(msgspec.Struct, frozen=True, array_like=True):
    """A model that is being loaded, or is about to be, at an endpoint.

    Attributes
    ----------
    name : str
    takes_ms : int
        Duration of the load, in milliseconds, as estimated when it was decided.
    left_ms : int or None
        Time left when a later leader recorded the row again; None if none has.
    """

    name: str
    takes_ms: int
    left_ms: int | None = None


class EndpointRow(BaseRow, frozen=True):
    """An endpoint to which clients' requests are sent.

    Attributes
    ----------
    endpoint_id : str
    pool : str
    address : str
        ``ip:port`` of its HTTP listener.
    failure_domain : str
    slots : int
        Number of requests that it runs concurrently.
    leaving : bool
        Whether it accepts no new work.
    models : tuple of ResidentModel
    agent_address : str
        Address of the mailbox of its agent; empty if it has none.
    arriving : tuple of ArrivingModel
    on_host : tuple of str or None
        Models whose weights are cached on its host; None while unknown.
    software_version : str
        Version of the endpoint's software; empty if unknown.
    limit_per_s : float or None
        Requests per second that it takes from all entries together; None if it names no limit.
    retiring : bool
        Whether it is about to leave, and takes only requests for models that no other endpoint has
        loaded.
    """

    endpoint_id: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    models: tuple[ResidentModel, ...] = ()
    agent_address: str = ""
    arriving: tuple[ArrivingModel, ...] = ()
    on_host: tuple[str, ...] | None = None
    software_version: str = ""
    limit_per_s: float | None = None
    retiring: bool = False

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"endpoint/{self.endpoint_id}"

    def has_model(self, model):
        """Return whether a model is loaded.

        Parameters
        ----------
        model : str

        Returns
        -------
        bool
        """
        return any(resident.name == model for resident in self.models)
