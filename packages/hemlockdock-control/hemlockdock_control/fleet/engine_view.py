"""Snapshot types of engines, their models and their pending changes, as seen by placement."""

from dataclasses import dataclass

from hemlockdock_core.messages import ChangeModels


@dataclass(slots=True)
class PendingChange:
    """A model change that was decided and is not finished yet.

    Attributes
    ----------
    message : ChangeModels
    engine_started_ms : int
        Start time of the engine process for which the change was decided.
    source : str
        Where the weights are loaded from: ``memory``, ``disk`` or ``store``.
    decided_s, ready_s : float
        Time of the decision, and expected time of completion.
    not_before_s : float
        Earliest time at which it may be sent to the agent: by then entries have stopped routing to
        the models to be unloaded.
    sent_s : float
        Time at which it was last sent to the agent.
    is_fallback : bool
        Whether the store is used because the hosts with the weights can't load the model.
    """

    message: ChangeModels
    engine_started_ms: int
    source: str
    decided_s: float
    ready_s: float
    not_before_s: float = float("-inf")
    sent_s: float = float("-inf")
    is_fallback: bool = False


@dataclass(slots=True)
class EngineView:
    """State of one engine in one placement round.

    Attributes
    ----------
    endpoint_id : str
    agent_address : str
    report : EngineReport
    change_number : int
        Number of the last change that the agent accepted.
    changing : bool
        Whether that change is still in progress.
    facts_number : int
        Number of the last ``EngineFacts`` that the agent has received.
    pending : PendingChange or None
        Change that this leader decided.
    changing_to : str
        Model that the agent is loading, also for an earlier leader; empty if none or not reported.
    is_limited : bool
        Whether the engine takes a limited number of requests per second.
    is_leaving : bool
        Whether the engine is about to be taken away with its host.
    usable_s : float
        Time for which an engine that is leaving still takes requests.
    """

    endpoint_id: str
    agent_address: str
    report: object
    change_number: int
    changing: bool
    facts_number: int
    pending: PendingChange | None
    changing_to: str = ""
    is_limited: bool = False
    is_leaving: bool = False
    usable_s: float = 0.0

    @property
    def resident(self):
        """Return the names of the models loaded once the pending change is done."""
        names = {model.name for model in self.report.models}
        if self.pending is not None:
            names -= set(self.pending.message.unload)
            if self.pending.message.load:
                names.add(self.pending.message.load)
        elif self.changing_to:
            names.add(self.changing_to)
        return names

    @property
    def coming_from_store(self):
        """Return the name of the model that is being loaded from the store, or an empty string."""
        if self.pending is not None:
            return self.pending.message.load if self.pending.source == "store" else ""
        # The weights are listed among those of the host only once they have arrived.
        return "" if self.has_local_weights(self.changing_to) else self.changing_to

    @property
    def occupies_store(self):
        """Tell whether the change in progress loads from the store, or may do so."""
        return bool(self.coming_from_store) or (self.changing and not self.changing_to)

    @property
    def loads_pending_model(self):
        """Tell whether the engine carries out the load of the pending change already."""
        if self.pending is None or not self.report.busy:
            return False
        return not any(self.report.model(name) for name in self.pending.message.unload)

    @property
    def is_free(self):
        """Tell whether the engine can accept another change."""
        return self.pending is None and not self.changing and not self.report.busy

    def weights_source(self, model):
        """Return where the engine would load a model's weights from.

        Parameters
        ----------
        model : str

        Returns
        -------
        str
            ``memory``, ``disk`` or ``store``.
        """
        if model in self.report.in_host_memory:
            return "memory"
        return "disk" if model in self.report.on_host_disk else "store"

    def has_local_weights(self, model):
        """Tell whether a model's weights are in the host's memory or on its disk.

        Parameters
        ----------
        model : str

        Returns
        -------
        bool
        """
        return model in self.report.in_host_memory or model in self.report.on_host_disk
