"""Define the life of one request as a state machine."""

from typing import Protocol

from automat import TypeMachineBuilder

from hemlockdock_entry.lifecycle.ledger import Ledger


class RequestInputs(Protocol):
    """Name what can happen to a request."""

    def wait(self) -> None:
        """Put it in a queue."""

    def claim(self) -> None:
        """Ask the quorum for its one run."""

    def dispatch(self) -> None:
        """Send it to an agent."""

    def stream(self) -> None:
        """Pass the first byte to the caller."""

    def answer(self) -> None:
        """End it with its whole answer."""

    def refuse(self) -> None:
        """End it with a refusal."""


class LifeCore:
    """Hold what a request's transitions change.

    Parameters
    ----------
    ledger : Ledger

    Attributes
    ----------
    state : str
        ``received``, ``waiting``, ``claimed``, ``dispatched``, ``streaming``, ``answered`` or
        ``refused``.
    """

    def __init__(self, ledger: Ledger):
        self.ledger = ledger
        self.state = "received"

    @property
    def ended(self):
        """Tell whether the caller has got the final answer."""
        return self.state in ("answered", "refused")


_builder = TypeMachineBuilder(RequestInputs, LifeCore)
_received = _builder.state("received")
_waiting = _builder.state("waiting")
_claimed = _builder.state("claimed")
_dispatched = _builder.state("dispatched")
_streaming = _builder.state("streaming")
_answered = _builder.state("answered")
_refused = _builder.state("refused")


def _enter_waiting(inputs: RequestInputs, core: LifeCore) -> None:
    core.state = "waiting"


def _enter_claimed(inputs: RequestInputs, core: LifeCore) -> None:
    core.state = "claimed"


def _enter_dispatched(inputs: RequestInputs, core: LifeCore) -> None:
    core.state = "dispatched"


def _enter_streaming(inputs: RequestInputs, core: LifeCore) -> None:
    core.state = "streaming"


def _enter_answered(inputs: RequestInputs, core: LifeCore) -> None:
    core.state = "answered"
    core.ledger.answered += 1


def _enter_refused(inputs: RequestInputs, core: LifeCore) -> None:
    core.state = "refused"
    core.ledger.refused += 1


def _build():
    for state in (_received, _claimed, _dispatched):
        state.upon(RequestInputs.wait).to(_waiting)(_enter_waiting)
    for state in (_received, _waiting, _dispatched):
        state.upon(RequestInputs.claim).to(_claimed)(_enter_claimed)
    # The resumption of a stream goes to its agent without waiting for room.
    for state in (_received, _waiting, _claimed):
        state.upon(RequestInputs.dispatch).to(_dispatched)(_enter_dispatched)
    # A run-once request that joins another's run streams without a dispatch of its own.
    for state in (_claimed, _dispatched):
        state.upon(RequestInputs.stream).to(_streaming)(_enter_streaming)
    for state in (_claimed, _dispatched, _streaming):
        state.upon(RequestInputs.answer).to(_answered)(_enter_answered)
    for state in (_received, _waiting, _claimed, _dispatched, _streaming):
        state.upon(RequestInputs.refuse).to(_refused)(_enter_refused)
    return _builder.build()


_MACHINE = _build()


def start_life(ledger):
    """Start the life of a request.

    Parameters
    ----------
    ledger : Ledger

    Returns
    -------
    tuple of (RequestInputs, LifeCore)
    """
    core = LifeCore(ledger)
    ledger.received += 1
    return _MACHINE(core), core
