"""MessagePack codec for frames that carry one of a fixed set of message types."""

import msgspec

from hemlockdock_core.foreign import UndecodableError, decode_foreign
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame
from hemlockdock_core.messages.link import LinkMessage


class MalformedFrameError(ValueError):
    """Raised if data is not a valid frame of this protocol version."""


class UnknownMessageError(ValueError):
    """Raised if a valid frame carries a message that this software version does not know."""


class Codec:
    """Encodes and decodes frames whose body is one of a union of message types.

    Parameters
    ----------
    union : type
        Union of the message types that a body may have, besides those about connections.
    """

    def __init__(self, union):
        frame_type = _frame_type("DecodedFrame", union | LinkMessage)
        envelope_type = _frame_type("Envelope", msgspec.Raw)
        self._envelope_decoder = msgspec.msgpack.Decoder(envelope_type)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(frame_type)

    def encode(self, frame):
        """Return a frame encoded as MessagePack.

        Parameters
        ----------
        frame : Frame

        Returns
        -------
        bytes
        """
        return self._encoder.encode(frame)

    def decode(self, data):
        """Decode a frame from MessagePack.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        Frame

        Raises
        ------
        MalformedFrameError
            If the data is not a frame, or has another protocol version.
        UnknownMessageError
            If only the body is not valid: the sender may have another software version.
        """
        try:
            frame = decode_foreign(self._decoder, data)
        except UndecodableError as error:
            self._check_envelope(data)
            raise UnknownMessageError(str(error)) from None
        _check_version(frame)
        return Frame(
            frame.version,
            frame.sender,
            frame.incarnation,
            frame.reply_to,
            frame.body,
            frame.number,
            frame.received,
        )

    def _check_envelope(self, data):
        try:
            envelope = decode_foreign(self._envelope_decoder, data)
        except UndecodableError as error:
            raise MalformedFrameError(str(error)) from None
        _check_version(envelope)


def _frame_type(name, body_type):
    fields = [
        ("version", int),
        ("sender", str),
        ("incarnation", int),
        ("reply_to", str),
        ("body", body_type),
        ("number", int, 0),
        ("received", int, 0),
    ]
    return msgspec.defstruct(name, fields, array_like=True, frozen=True)


def _check_version(frame):
    if frame.version != PROTOCOL_VERSION:
        raise MalformedFrameError(f"unsupported protocol version {frame.version}")
