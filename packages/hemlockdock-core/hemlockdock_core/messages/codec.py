"""Encode and decode frames for one closed set of messages."""

import msgspec

from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame


class MalformedFrameError(ValueError):
    """Raise where bytes are not a frame of this protocol version."""


class Codec:
    """Encode and decode frames whose body is one of a union of messages.

    Parameters
    ----------
    union : type
        Union of message types.
    """

    def __init__(self, union):
        frame_type = msgspec.defstruct(
            "DecodedFrame",
            [
                ("version", int),
                ("sender", str),
                ("incarnation", int),
                ("reply_to", str),
                ("body", union),
            ],
            array_like=True,
            frozen=True,
        )
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(frame_type)

    def encode(self, frame):
        """Return a frame's bytes.

        Parameters
        ----------
        frame : Frame

        Returns
        -------
        bytes
        """
        return self._encoder.encode(frame)

    def decode(self, data):
        """Return the frame that the bytes hold.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        Frame

        Raises
        ------
        MalformedFrameError
            Where the bytes are no frame, or one of another protocol version.
        """
        try:
            frame = self._decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise MalformedFrameError(str(error)) from None
        if frame.version != PROTOCOL_VERSION:
            raise MalformedFrameError(f"protocol version {frame.version}")
        return Frame(frame.version, frame.sender, frame.incarnation, frame.reply_to, frame.body)
