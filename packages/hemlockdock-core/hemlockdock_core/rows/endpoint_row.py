"""Describe one endpoint that clients' requests are sent to."""

import msgspec

from hemlockdock_core.rows.base import BaseRow


class ResidentModel(msgspec.Struct, frozen=True, array_like=True):
    """Name one model that an endpoint has loaded.

    Attributes
    ----------
    name : str
    version : int
        Version of its weights.
    """

    name: str
    version: int


class ArrivingModel(msgspec.Struct, frozen=True, array_like=True):
    """Name one model that an endpoint is about to have loaded.

    Attributes
    ----------
    name : str
    takes_ms : int
        How long that was expected to take when it was decided.
    """

    name: str
    takes_ms: int


class EndpointRow(BaseRow, frozen=True):
    """Describe one endpoint.

    Attributes
    ----------
    endpoint_id : str
    pool : str
    address : str
        ``ip:port`` of its HTTP listener.
    failure_domain : str
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it takes no new work.
    models : tuple of ResidentModel
    agent_address : str
        Mailbox of the agent beside it; empty where there is none.
    arriving : tuple of ArrivingModel
    on_host : tuple of str or None
        Models whose weights lie on its host; None while that isn't known.
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

    @property
    def key(self):
        """Return the row's key."""
        return f"endpoint/{self.endpoint_id}"

    def holds(self, model):
        """Tell whether a model is loaded.

        Parameters
        ----------
        model : str

        Returns
        -------
        bool
        """
        return any(resident.name == model for resident in self.models)
