"""Define the lifecycle of a request as a state machine."""

from typing import Protocol

from automat import TypeMachineBuilder

from hemlockdock_entry.lifecycle.ledger import RequestCounts


class RequestInputs(Protocol):
    """Inputs of the state machine."""

    def wait(self) -> None:
        """Enqueue the request."""

    def claim(self) -> None:
        """Request a run-once claim from control."""

    def dispatch(self) -> None:
        """Send the request to an agent or a service instance."""

    def stream(self) -> None:
        """Send the first bytes of the response to the caller."""

    def answer(self) -> None:
        """End the request with its complete response."""

    def refuse(self) -> None:
        """End the request with a refusal."""


class RequestLifecycleCore:
    """The data that a request's state transitions change.

    Parameters
    ----------
    ledger : RequestCounts

    Attributes
    ----------
    state : str
        ``received``, ``waiting``, ``claimed``, ``dispatched``, ``streaming``, ``answered`` or
        ``refused``.
    """

    def __init__(self, ledger: RequestCounts):
        self.ledger = ledger
        self.state = "received"

    @property
    def ended(self):
        """Whether the request was answered or refused."""
        return self.state in ("answered", "refused")


_builder = TypeMachineBuilder(RequestInputs, RequestLifecycleCore)
_received = _builder.state("received")
_waiting = _builder.state("waiting")
_claimed = _builder.state("claimed")
_dispatched = _builder.state("dispatched")
_streaming = _builder.state("streaming")
_answered = _builder.state("answered")
_refused = _builder.state("refused")


def _enter_waiting(inputs: RequestInputs, core: RequestLifecycleCore) -> None:
    core.state = "waiting"


def _enter_claimed(inputs: RequestInputs, core: RequestLifecycleCore) -> None:
    core.state = "claimed"


def _enter_dispatched(inputs: RequestInputs, core: RequestLifecycleCore) -> None:
    core.state = "dispatched"


def _enter_streaming(inputs: RequestInputs, core: RequestLifecycleCore) -> None:
    core.state = "streaming"


def _enter_answered(inputs: RequestInputs, core: RequestLifecycleCore) -> None:
    core.state = "answered"
    core.ledger.answered += 1


def _enter_refused(inputs: RequestInputs, core: RequestLifecycleCore) -> None:
    core.state = "refused"
    core.ledger.refused += 1


def _build():
    for state in (_received, _claimed, _dispatched):
        state.upon(RequestInputs.wait).to(_waiting)(_enter_waiting)
    for state in (_received, _waiting, _dispatched):
        state.upon(RequestInputs.claim).to(_claimed)(_enter_claimed)
    # A stream resumption is sent to its agent without waiting for a free slot.
    for state in (_received, _waiting, _claimed):
        state.upon(RequestInputs.dispatch).to(_dispatched)(_enter_dispatched)
    # A run-once request that joins the run of another request streams without being dispatched.
    for state in (_claimed, _dispatched):
        state.upon(RequestInputs.stream).to(_streaming)(_enter_streaming)
    for state in (_claimed, _dispatched, _streaming):
        state.upon(RequestInputs.answer).to(_answered)(_enter_answered)
    for state in (_received, _waiting, _claimed, _dispatched, _streaming):
        state.upon(RequestInputs.refuse).to(_refused)(_enter_refused)
    return _builder.build()


_STATE_MACHINE = _build()


def start_lifecycle(ledger):
    """Start the lifecycle of a request and count it as received.

    Parameters
    ----------
    ledger : RequestCounts

    Returns
    -------
    tuple of (RequestInputs, RequestLifecycleCore)
    """
    core = RequestLifecycleCore(ledger)
    ledger.received += 1
    return _STATE_MACHINE(core), core
