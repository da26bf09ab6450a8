"""Encoding of messages as msgpack arrays of tag, Lamport clock and fields."""

from dataclasses import dataclass

import msgpack
import msgspec

from bergamotshore.core.decoding import call_decoder, convert
from bergamotshore.exceptions import (
    DecodingError,
    MalformedMessageError,
    UnknownMessageError,
)
from bergamotshore.generated.messages import TYPES_BY_TAG

TAG_BY_TYPE = {message_type: tag for tag, message_type in TYPES_BY_TAG.items()}
FRAME_LENGTH = 3
# A process continues from the highest clock that it received, so there must be room for
# its own messages in 64 bits.
MAX_CLOCK = 2**53


@dataclass(frozen=True, slots=True)
class Frame:
    """A message with the Lamport clock of its sender.

    :param clock: Lamport clock.
    :param message: Message from ``generated.messages``.
    """

    clock: int
    message: object


def encode_message(message, clock):
    """Return the encoding of a message.

    :param message: Message from ``generated.messages``.
    :param clock: Lamport clock of the sender.
    """
    tag = TAG_BY_TYPE[type(message)]
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return msgpack.packb([tag, clock, fields])


class Decoder:
    """Decode a stream of bytes into messages.

    :param max_message_bytes: Maximum size of a message.
    """

    def __init__(self, max_message_bytes):
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=max_message_bytes, strict_map_key=True, raw=False
        )

    def feed(self, content):
        """Add received bytes and return the messages that are now complete.

        :param content: Received bytes.
        :returns: List of ``Frame``.
        :raises MalformedMessageError: for bytes that are not a valid message.
        :raises UnknownMessageError: for an unknown tag.
        """
        try:
            self._unpacker.feed(content)
            values = call_decoder(list, self._unpacker)
        except (msgpack.exceptions.UnpackException, DecodingError) as error:
            raise MalformedMessageError(str(error)) from error
        return [_decode_frame(value) for value in values]


def _decode_frame(value):
    if not isinstance(value, list) or len(value) != FRAME_LENGTH:
        raise MalformedMessageError("not an array of tag, clock and fields")
    tag, clock, fields = value
    if not isinstance(tag, int) or not isinstance(clock, int):
        raise MalformedMessageError("tag or clock is not a number")
    if not 0 <= clock <= MAX_CLOCK:
        raise MalformedMessageError("clock is out of range")
    message_type = TYPES_BY_TAG.get(tag)
    if message_type is None:
        raise UnknownMessageError(f"tag {tag}")
    try:
        return Frame(clock, convert(fields, message_type))
    except DecodingError as error:
        raise MalformedMessageError(f"{message_type.__name__}: {error}") from error
