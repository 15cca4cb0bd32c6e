"""Decide the orders of one change of models, step by step.

Each order carries the number of orders that the engine accepted before it, and the engine accepts
only one order with each number. An order without an answer can therefore be sent again: if the
first copy arrives late, its number no longer matches and the engine refuses it.
"""

from dataclasses import dataclass
from enum import Enum

from hemlockdock_core.wire import EngineOrder, OrderAction


class ChangeStep(Enum):
    """Enumerate the kinds of next steps of a change."""

    WAIT = "wait"
    ORDER = "order"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class NextStep:
    """Hold the next step of a change.

    Attributes
    ----------
    step : ChangeStep
    order : EngineOrder or None
    reason : str
        Why the change is done.
    """

    step: ChangeStep
    order: EngineOrder | None = None
    reason: str = ""


class ModelChange:
    """Execute one change of models: unload models, then load the new one.

    Parameters
    ----------
    message : ChangeModels
    holder : str
    engine_started_ms : int
    """

    def __init__(self, message, holder, engine_started_ms):
        self.message = message
        self._engine_started_ms = engine_started_ms
        self._holder = holder

    def next_step(self, report, memory, fence):
        """Return the next step.

        Parameters
        ----------
        report : EngineReport
        memory : EngineMemory
        fence : int
            Highest term that the agent knows. Other orders may carry it already, even if a
            leader of an older term requested this change.

        Returns
        -------
        NextStep
        """
        message = self.message
        if report.started_ms != self._engine_started_ms:
            return NextStep(ChangeStep.DONE, reason="the engine started anew")
        if report.busy:
            return NextStep(ChangeStep.WAIT)
        if report.leaving and message.load not in report.on_host:
            return NextStep(ChangeStep.DONE, reason="the engine leaves")
        for name in message.unload:
            if report.model(name) is not None:
                return NextStep(
                    ChangeStep.ORDER, self._order(OrderAction.UNLOAD, name, report, fence)
                )
        if not message.load or report.model(message.load) is not None:
            return NextStep(ChangeStep.DONE, reason="done")
        if not memory.has_room_for_model(report, message.load):
            return NextStep(ChangeStep.DONE, reason="no room")
        return NextStep(
            ChangeStep.ORDER, self._order(OrderAction.LOAD, message.load, report, fence)
        )

    def _order(self, action, model, report, fence):
        return EngineOrder(action, model, "", report.sequence, self._holder, fence)
