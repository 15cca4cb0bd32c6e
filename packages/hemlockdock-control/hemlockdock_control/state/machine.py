"""State machine driven by the replicated log."""

import logging

import msgspec

from hemlockdock_control.state.cluster_state import ClusterState
from hemlockdock_core.commands import Command, CommandResult
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command):
    """Encode a command for the replicated log.

    Parameters
    ----------
    command : Command

    Returns
    -------
    bytes
    """
    return _ENCODER.encode(command)


class ClusterStateMachine:
    """Decode log entries and apply them to the cluster state.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
    on_applied : callable, optional
        Called with the log index and the command after each applied entry, and with the index and
        None after a restored snapshot.

    Attributes
    ----------
    state : ClusterState
    """

    def __init__(self, settings, on_applied=None):
        self._settings = settings
        self._on_applied = on_applied
        self.state = ClusterState(settings)

    def apply(self, index, data):
        """Apply one committed entry.

        Parameters
        ----------
        index : int
        data : bytes

        Returns
        -------
        CommandResult
        """
        try:
            command = _DECODER.decode(data)
        except msgspec.DecodeError as error:
            # Every member decodes the same bytes, so all of them reject this entry.
            COUNTERS.increment("control_unreadable_entries")
            logger.error(
                "failed to decode log entry", extra={"index": index, "problem": str(error)}
            )
            return CommandResult(index, Refusal.of(ErrorKind.INTERNAL, "unreadable entry"))
        try:
            result = self.state.apply(index, command)
        except MemoryError:
            raise
        except Exception:
            # All members apply the same command to the same state, so they fail identically.
            COUNTERS.increment("control_failed_entries")
            logger.exception("failed to apply log entry", extra={"index": index})
            return CommandResult(index, Refusal.of(ErrorKind.INTERNAL, "the entry failed"))
        if self._on_applied is not None:
            self._on_applied(index, command)
        return result

    def reset(self):
        """Replace the state with an empty one."""
        self.state = ClusterState(self._settings)

    def snapshot(self):
        """Return the encoded state."""
        return self.state.snapshot()

    def restore(self, index, data):
        """Replace the state with that of a snapshot.

        Parameters
        ----------
        index : int
        data : bytes
        """
        self.state.restore(data)
        if self._on_applied is not None:
            self._on_applied(index, None)
