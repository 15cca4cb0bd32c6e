"""Compute whether models and adapters fit in an engine's weight memory."""


class EngineMemory:
    """Compute whether models and adapters fit in an engine's weight memory.

    Parameters
    ----------
    engine : EngineSpec
    """

    def __init__(self, engine):
        self.adapter_slots = engine.adapter_slots
        self._capacity_mb = engine.weights_mb
        self._spec_by_name = {model.name: model for model in engine.models}

    def has_room_for_model(self, report, model):
        """Return whether a model fits in addition to all that is loaded or loading.

        Parameters
        ----------
        report : EngineReport
        model : str

        Returns
        -------
        bool
        """
        spec = self._spec_by_name.get(model)
        return spec is not None and self._used_mb(report) + spec.weights_mb <= self._capacity_mb

    def has_room_for_adapter(self, report, model):
        """Return whether an adapter fits in addition to all that is loaded or loading.

        Parameters
        ----------
        report : EngineReport
        model : str

        Returns
        -------
        bool
        """
        spec = self._spec_by_name.get(model)
        return spec is not None and self._used_mb(report) + spec.adapter_mb <= self._capacity_mb

    def _used_mb(self, report):
        used_mb = 0.0
        for model in report.models:
            spec = self._spec_by_name.get(model.name)
            if spec is None:
                # A model of unknown size may occupy the whole memory.
                return self._capacity_mb
            used_mb += spec.weights_mb + spec.adapter_mb * len(model.adapters)
        for name in report.arriving:
            spec = self._spec_by_name.get(name.model)
            used_mb += spec.adapter_mb if spec is not None else 0.0
        return used_mb
